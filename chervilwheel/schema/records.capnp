@0xe7b2c90d14f3a685;
# What the data files and the replicated logs hold. Field names match
# the typed records of chervilwheel/journal.py, ledger.py and policies.py.

using Peer = import "peer.capnp";

struct Header {
  formatVersion @0 :UInt32;
  group @1 :Text;
  disk @2 :Text;
}

struct Save {
  hasHardState @0 :Bool;
  term @1 :UInt64;
  vote @2 :Text;
  entries @3 :List(Peer.Entry);
}

struct SnapshotFile {
  index @0 :UInt64;
  term @1 :UInt64;
  config @2 :Peer.GroupConfig;
  data @3 :Data;
}

struct Batch { wallMs @0 :UInt64; commands @1 :List(Data); }

struct TaskRecord {
  task @0 :UInt16;
  outcome @1 :Text;
  value @2 :Text;
  detail @3 :Text;
}

struct ClaimCommand {
  job @0 :Text;
  team @1 :Text;
  digest @2 :Text;
  tasks @3 :Text;
  intents @4 :List(UInt16);
  runner @5 :Text;
  isLookup @6 :Bool;
}

struct IntendCommand {
  job @0 :Text;
  epoch @1 :UInt64;
  tasks @2 :List(UInt16);
}

struct RecordCommand {
  job @0 :Text;
  epoch @1 :UInt64;
  results @2 :List(TaskRecord);
}

struct AdoptCommand { job @0 :Text; epoch @1 :UInt64; runner @2 :Text; }
struct CancelCommand { job @0 :Text; team @1 :Text; }
struct OrphansCommand { live @0 :List(Text); limit @1 :UInt16; }
struct ForgetCommand { beforeMs @0 :UInt64; }

struct JobReply {
  verdict @0 :Text;
  job @1 :Text;
  epoch @2 :UInt64;
  runner @3 :Text;
  results @4 :List(TaskRecord);
  tasks @5 :Text;
  digest @6 :Text;
  team @7 :Text;
  intents @8 :List(UInt16);
}

struct Orphan { job @0 :Text; epoch @1 :UInt64; runner @2 :Text; }
struct OrphansReply { orphans @0 :List(Orphan); }

struct JobState {
  job @0 :Text;
  team @1 :Text;
  digest @2 :Text;
  tasks @3 :Text;
  taskCount @4 :UInt16;
  runner @5 :Text;
  epoch @6 :UInt64;
  intents @7 :List(UInt16);
  results @8 :List(TaskRecord);
  createdMs @9 :UInt64;
  isCancelled @10 :Bool;
}

struct LedgerState {
  jobs @0 :List(JobState);
  forgottenMs @1 :UInt64;
  lastWallMs @2 :UInt64;
  lastEpoch @3 :UInt64;
}

struct Edit { path @0 :Text; text @1 :Text; isDelete @2 :Bool; }

struct ChangeCommand {
  changeId @0 :Text;
  author @1 :Text;
  baseRevision @2 :UInt64;
  edits @3 :List(Edit);
}

struct RefuseCommand {
  changeId @0 :Text;
  author @1 :Text;
  paths @2 :List(Text);
  reason @3 :Text;
}

struct HistoryCommand { path @0 :Text; limit @1 :UInt32; }

struct ChangeReply {
  status @0 :Text;
  revision @1 :UInt64;
  detail @2 :Text;
}

struct HistoryReply { changes @0 :List(Change); }

struct Change {
  number @0 :UInt64;
  wallMs @1 :UInt64;
  changeId @2 :Text;
  author @3 :Text;
  path @4 :Text;
  old @5 :Text;
  new @6 :Text;
  revision @7 :UInt64;
  status @8 :Text;
  detail @9 :Text;
  previousHash @10 :Text;
  hash @11 :Text;
}

struct Answered {
  changeId @0 :Text;
  digest @1 :Text;
  reply @2 :ChangeReply;
  wallMs @3 :UInt64;
}

struct PoliciesState {
  revision @0 :UInt64;
  documents @1 :List(Peer.Document);
  answered @2 :List(Answered);
  changes @3 :List(Change);
  lastHash @4 :Text;
  changeCount @5 :UInt64;
  lastWallMs @6 :UInt64;
}

struct PutDocument { version @0 :UInt64; data @1 :Data; }
struct ReadDocument {
  unused @0 :Void;
  known @1 :UInt64;
  cancelled @2 :List(Text);
  cancelledAtMs @3 :UInt64;
}
struct DocumentReply { version @0 :UInt64; data @1 :Data; }

struct ChangeDocument {
  version @0 :UInt64;
  base @1 :UInt64;
  delta @2 :Data;
}

struct ZoneRow {
  zone @0 :Text;
  revision @1 :UInt64;
  isEvacuated @2 :Bool;
  changedAtMs @3 :UInt64;
  origin @4 :Text;
}

struct AuditEntry {
  revision @0 :UInt64;
  zone @1 :Text;
  isEvacuated @2 :Bool;
  atMs @3 :UInt64;
  origin @4 :Text;
}

struct OrderZone {
  zone @0 :Text;
  isEvacuated @1 :Bool;
  base @2 :UInt64;
  origin @3 :Text;
  atMs @4 :UInt64;
}

struct OrderReply { status @0 :Text; revision @1 :UInt64; }
struct ReadZones {}

struct ZoneTable {
  revision @0 :UInt64;
  rows @1 :List(ZoneRow);
  audit @2 :List(AuditEntry);
}

struct ControlState {
  document @0 :DocumentReply;
  zones @1 :ZoneTable;
  cancels @2 :Data;
}

struct Splice { start @0 :UInt64; size @1 :UInt64; inserted @2 :Data; }
struct Delta { splices @0 :List(Splice); checksum @1 :UInt32; }

struct Record {
  union {
    header @0 :Header;
    save @1 :Save;
    snapshotFile @2 :SnapshotFile;
    batch @3 :Batch;
    claimCommand @4 :ClaimCommand;
    intendCommand @5 :IntendCommand;
    recordCommand @6 :RecordCommand;
    adoptCommand @7 :AdoptCommand;
    cancelCommand @8 :CancelCommand;
    orphansCommand @9 :OrphansCommand;
    forgetCommand @10 :ForgetCommand;
    jobReply @11 :JobReply;
    orphansReply @12 :OrphansReply;
    ledgerState @13 :LedgerState;
    changeCommand @14 :ChangeCommand;
    refuseCommand @15 :RefuseCommand;
    historyCommand @16 :HistoryCommand;
    changeReply @17 :ChangeReply;
    historyReply @18 :HistoryReply;
    policiesState @19 :PoliciesState;
    putDocument @20 :PutDocument;
    readDocument @21 :ReadDocument;
    documentReply @22 :DocumentReply;
    changeDocument @23 :ChangeDocument;
    delta @24 :Delta;
    orderZone @25 :OrderZone;
    orderReply @26 :OrderReply;
    readZones @27 :ReadZones;
    zoneTable @28 :ZoneTable;
    controlState @29 :ControlState;
  }
}
