"""Files that last once they are synced."""

import abc
import contextlib
import os
import pathlib
import time

from chervilwheel import errors


class Disk(abc.ABC):
    """The few file operations that durable state needs.

    Every method raises :class:`errors.StorageError` when it fails. After
    a failed sync nothing is known of the bytes before it.
    """

    @abc.abstractmethod
    def names(self, folder: pathlib.Path) -> list[str]:
        """List the files of a folder, which is made when absent."""

    @abc.abstractmethod
    def read(self, path: pathlib.Path) -> bytes:
        """Read a whole file."""

    @abc.abstractmethod
    def append(self, path: pathlib.Path, data: bytes) -> None:
        """Add bytes to a file, not yet durable."""

    @abc.abstractmethod
    def sync(self, path: pathlib.Path) -> None:
        """Make a file's bytes durable."""

    @abc.abstractmethod
    def replace(self, path: pathlib.Path, data: bytes) -> None:
        """Write a whole file, durably and at once."""

    @abc.abstractmethod
    def truncate(self, path: pathlib.Path, size: int) -> None:
        """Cut a file to a size, durably."""

    @abc.abstractmethod
    def remove(self, path: pathlib.Path) -> None:
        """Remove a file."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close all open files."""


class FileDisk(Disk):
    """The machine's file system.

    :param least_sync_s: a sync takes at least so long, seconds; for
        rehearsing on a machine with a faster disk
    """

    def __init__(self, *, least_sync_s: float = 0.0) -> None:
        self._least_sync_s = least_sync_s
        self._open: dict[pathlib.Path, int] = {}

    def names(self, folder: pathlib.Path) -> list[str]:
        """List the files of a folder."""
        with _storage_errors(folder):
            if not folder.exists():
                folder.mkdir(parents=True)
                _sync_folder(folder.parent)
            return sorted(each.name for each in folder.iterdir())

    def read(self, path: pathlib.Path) -> bytes:
        """Read a whole file."""
        with _storage_errors(path):
            return path.read_bytes()

    def append(self, path: pathlib.Path, data: bytes) -> None:
        """Add bytes to a file."""
        with _storage_errors(path):
            handle = self._handle(path)
            while data:
                data = data[os.write(handle, data) :]

    def sync(self, path: pathlib.Path) -> None:
        """Make a file's bytes durable."""
        started = time.monotonic()
        with _storage_errors(path):
            os.fdatasync(self._handle(path))
        rest_s = self._least_sync_s - (time.monotonic() - started)
        if self._least_sync_s and rest_s > 0:
            time.sleep(rest_s)

    def replace(self, path: pathlib.Path, data: bytes) -> None:
        """Write a whole file through a temporary one."""
        self._drop_handle(path)
        draft = path.with_suffix(".draft")
        with _storage_errors(path):
            with open(draft, "wb") as stream:
                stream.write(data)
                stream.flush()
                os.fsync(stream.fileno())
            os.replace(draft, path)
            _sync_folder(path.parent)

    def truncate(self, path: pathlib.Path, size: int) -> None:
        """Cut a file to a size."""
        with _storage_errors(path):
            handle = self._handle(path)
            os.ftruncate(handle, size)
            os.fsync(handle)

    def remove(self, path: pathlib.Path) -> None:
        """Remove a file."""
        self._drop_handle(path)
        with _storage_errors(path):
            path.unlink(missing_ok=True)
            _sync_folder(path.parent)

    def close(self) -> None:
        """Close all open files."""
        for path in list(self._open):
            self._drop_handle(path)

    def _handle(self, path: pathlib.Path) -> int:
        handle = self._open.get(path)
        if handle is None:
            is_new = not path.exists()
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
            handle = os.open(path, flags, 0o600)
            self._open[path] = handle
            if is_new:
                _sync_folder(path.parent)
        return handle

    def _drop_handle(self, path: pathlib.Path) -> None:
        handle = self._open.pop(path, None)
        if handle is not None:
            os.close(handle)


@contextlib.contextmanager
def _storage_errors(path: pathlib.Path):
    try:
        yield
    except OSError as exc:
        raise errors.StorageError(f"{path}: {exc.strerror}") from exc


def _sync_folder(folder: pathlib.Path) -> None:
    handle = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
