"""One process of an instance, from its start to its end, as bench/starts_and_ends.py sees it."""

import contextlib
import glob
import os
import re
import signal
import time

# The status of an end that was asked for, and by which signals.
ASKED = {0: {signal.SIGTERM, signal.SIGINT}, -signal.SIGKILL: {signal.SIGKILL}}


def owner(inode):
    """The process that has this socket, by its program's name; none once the connection has ended."""
    for link in glob.glob("/proc/[0-9]*/fd/*"):
        with contextlib.suppress(OSError):
            if os.readlink(link) == f"socket:[{inode}]":
                pid = link.split("/")[2]
                with open(f"/proc/{pid}/comm") as file:
                    return f"{file.read().strip()}-{pid}"
    return "none"


def holders(log):
    """The kernel's sockets on the port that the log tells of last: state (in hex), the other end's port, owner."""
    wanted = re.findall(r"(?:can't listen on |address_unavailable .*address=)[\d.]+:(\d+)", log)
    found = set()
    with open("/proc/net/tcp") as table:
        for line in table.readlines()[1:] if wanted else []:
            fields = line.split()
            port, other = (int(end.split(":")[1], 16) for end in fields[1:3])
            if port == int(wanted[-1]):
                found.add((fields[3], other, owner(fields[9])))
    return sorted(found)


class Life:
    """One process of an instance."""

    def __init__(self, number, child, log, log_begin, reader):
        self.number, self.child, self.reader = number, child, reader
        self.log, self.log_begin = log, log_begin
        self.began = self.free_since = time.monotonic()
        self.asked, self.stop_at, self.paused, self.told = [], None, False, set()
        self.answered, self.peak_kib = {}, 0

    def send(self, which):
        now = time.monotonic()
        self.asked.append((which, now - self.began))
        if which in (signal.SIGTERM, signal.SIGINT):
            self.stop_at = self.stop_at or now
        if which in (signal.SIGSTOP, signal.SIGCONT):
            self.paused, self.free_since = which == signal.SIGSTOP, now
        with contextlib.suppress(ProcessLookupError):
            self.child.send_signal(which)

    def read(self, name):
        with open(f"/proc/{self.child.pid}/{name}") as file:
            return file.read()

    def waited_s(self):
        """How long it was ready to run and had no processor."""
        return int(self.read("schedstat").split()[1]) / 1e9

    def handles(self, which):
        """Holds or handles it; true if the process is gone.

        A library may hold all signals for a moment while it is loaded. The program itself
        has begun once it has a handler for SIGUSR1.
        """
        with contextlib.suppress(OSError):
            masks = dict(line.split(":") for line in self.read("status").splitlines())
            begun = int(masks["SigCgt"], 16) >> (signal.SIGUSR1 - 1) & 1
            held = any(int(masks[name], 16) >> (which - 1) & 1 for name in ("SigBlk", "SigCgt"))
            return bool(begun and held)
        return True

    def processor_s(self):
        fields = self.read("stat").rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def look(self):
        self.peak_kib = int(self.read("status").split("VmHWM:")[1].split()[0])

    def end_reason(self):
        """None if the end was asked for."""
        status, signals = self.child.returncode, {which for which, _ in self.asked}
        if ASKED.get(status, set()) & signals:
            return None
        text = self.text()
        if -status in signals and not text:
            return "signal while loading"
        if "can't listen" in text:
            return "port"
        return {2: "settings"}.get(status, "other")

    def read_log(self, limit):
        """From the pipe, if it is one that is still read."""
        if self.reader and not self.reader.closed:
            with open(self.log, "ab") as log:
                log.write(self.reader.read(limit) or b"")

    def text(self):
        with open(self.log, errors="replace") as file:
            file.seek(self.log_begin)
            return file.read()
