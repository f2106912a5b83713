"""Work on leased workers: what is started where, when and by whom."""
