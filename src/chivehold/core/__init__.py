"""The decision logic of chivehold as pure state machines.

Nothing in this package does I/O, reads a clock or starts a task. A core is given an event and the
current time and yields commands; its driver owns sockets, files and timers. The same cores run in
the daemons, in the tests and under ``make measure``.
"""
