"""File operations with explicit durability."""

import abc
import contextlib
import os
import pathlib
import time

from chervilwheel import errors


class Disk(abc.ABC):
    """The file operations that durable state needs.

    Every method raises :class:`errors.StorageError` when it fails. After
    a failed sync, any bytes appended before it may or may not be durable.
    """

    @abc.abstractmethod
    def names(self, folder: pathlib.Path) -> list[str]:
        """List the files of a folder, creating it if it doesn't exist."""

    @abc.abstractmethod
    def read(self, path: pathlib.Path) -> bytes:
        """Read a whole file."""

    @abc.abstractmethod
    def append(self, path: pathlib.Path, data: bytes) -> None:
        """Append bytes to a file; they are not durable until synced."""

    @abc.abstractmethod
    def sync(self, path: pathlib.Path) -> None:
        """Make a file's bytes durable."""

    @abc.abstractmethod
    def replace(self, path: pathlib.Path, data: bytes) -> None:
        """Replace a whole file, atomically and durably."""

    @abc.abstractmethod
    def truncate(self, path: pathlib.Path, size: int) -> None:
        """Truncate a file to a size, durably."""

    @abc.abstractmethod
    def remove(self, path: pathlib.Path) -> None:
        """Remove a file."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close all open files."""


class FileDisk(Disk):
    """The local file system.

    :param least_sync_s: minimum duration of a sync, seconds; simulates
        a slower disk than the machine has
    """

    def __init__(self, *, least_sync_s: float = 0.0) -> None:
        self._least_sync_s = least_sync_s
        self._handles: dict[pathlib.Path, int] = {}

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
        """Append bytes to a file."""
        with _storage_errors(path):
            fd = self._fd(path)
            while data:
                data = data[os.write(fd, data) :]

    def sync(self, path: pathlib.Path) -> None:
        """Make a file's bytes durable."""
        started = time.monotonic()
        with _storage_errors(path):
            os.fdatasync(self._fd(path))
        remaining_s = self._least_sync_s - (time.monotonic() - started)
        if self._least_sync_s and remaining_s > 0:
            time.sleep(remaining_s)

    def replace(self, path: pathlib.Path, data: bytes) -> None:
        """Write a temporary file and rename it over the target."""
        self._close_handle(path)
        temporary_path = path.with_suffix(".draft")
        with _storage_errors(path):
            with open(temporary_path, "wb") as stream:
                stream.write(data)
                stream.flush()
                os.fsync(stream.fileno())
            os.replace(temporary_path, path)
            _sync_folder(path.parent)

    def truncate(self, path: pathlib.Path, size: int) -> None:
        """Truncate a file to a size."""
        with _storage_errors(path):
            fd = self._fd(path)
            os.ftruncate(fd, size)
            os.fsync(fd)

    def remove(self, path: pathlib.Path) -> None:
        """Remove a file."""
        self._close_handle(path)
        with _storage_errors(path):
            path.unlink(missing_ok=True)
            _sync_folder(path.parent)

    def close(self) -> None:
        """Close all open files."""
        for path in list(self._handles):
            self._close_handle(path)

    def _fd(self, path: pathlib.Path) -> int:
        fd = self._handles.get(path)
        if fd is None:
            is_new = not path.exists()
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
            fd = os.open(path, flags, 0o600)
            self._handles[path] = fd
            if is_new:
                _sync_folder(path.parent)
        return fd

    def _close_handle(self, path: pathlib.Path) -> None:
        fd = self._handles.pop(path, None)
        if fd is not None:
            os.close(fd)


@contextlib.contextmanager
def _storage_errors(path: pathlib.Path):
    try:
        yield
    except OSError as exc:
        raise errors.StorageError(f"{path}: {exc.strerror}") from exc


def _sync_folder(folder: pathlib.Path) -> None:
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
