"""Stand-ins for clients, workers, the platform and the operator, and the start and end of the project's programs.

All of it runs in one asyncio loop on loopback addresses and the real clock. Only what PROTOCOL.md allows is done; where
the page is silent, a stand-in behaves like a sound client, worker or platform.
"""
import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SERVICE, SPARE = "svc-a", "svc-spare"
HOST, PREFIX, QUEUE = "jobs.example", "/q/", "r-1"
HOLD_MAX_MS, STOP_MS, SAVE_S = 6000, 100, 0.5


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.since = time.monotonic()

    def now(self):
        return time.monotonic() - self.since

    def note(self, *words):
        self.file.write(f"{self.now():9.3f} " + " ".join(str(word) for word in words) + "\n")
        self.file.flush()


async def read_message(reader):
    """Reads one HTTP message; returns its first line, headers and body, or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def call(address, method, path, body=None, headers=None, timeout=3.0):
    """One request on a connection of its own; returns (status, parsed body), or (None, None) without an answer."""
    host, port = address.rsplit(":", 1)
    data = b"" if body is None else json.dumps(body).encode()

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Host: {(headers or {}).get('Host', address)}",
                     "Content-Type: application/json", f"Content-Length: {len(data)}"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items() if name != "Host"]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            message = await read_message(reader)
            if message is None:
                return None, None
            status = int(message[0].split(" ")[1])
            try:
                return status, json.loads(message[2]) if message[2] else None
            except ValueError:
                return status, None
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None, None


async def serve(host, port, handle, connections=None):
    """Serves HTTP; `handle` is a coroutine of (method, path, headers, body) that returns (status, body) or None."""

    async def connection(reader, writer):
        if connections is not None:
            connections.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, path, _ = message[0].split(" ", 2)
                answer = await handle(method, path, message[1], message[2])
                if answer is None:
                    break
                data = json.dumps(answer[1]).encode()
                writer.write(f"HTTP/1.1 {answer[0]} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            if connections is not None:
                connections.discard(writer)
            writer.close()

    return await asyncio.start_server(connection, host, port)


class Worker:
    """One life of a worker: runs tasks under a lease on its own clock, and reports itself."""

    def __init__(self, system, name, host, machine, service=SERVICE, cpu=16000, mem_mb=32768, guards=True):
        self.system, self.id, self.host, self.machine, self.service = system, name, host, machine, service
        self.cpu, self.mem_mb, self.guards = cpu, mem_mb, guards
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.fence, self.lease_ms, self.seq, self.ends_count = 0, 0, 0, 0
        self.runs, self.refused, self.ended = {}, {}, []
        self.changed = asyncio.Event()
        self.is_up, self.is_draining, self.control = True, False, None
        self.hooks = {}
        self.tasks, self.connections = [], set()

    @property
    def address(self):
        return f"{self.host}:{self.system.worker_port}"

    def clock_ms(self):
        return 1000 + int((time.monotonic() - self.started) * 1000)

    async def start(self):
        self.server = await serve(self.host, self.system.worker_port, self.handle, self.connections)
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.tick())]
        return self

    def crash(self):
        """Ends this life at once; what ran here is gone."""
        self.is_up = False
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        for task in self.tasks:
            task.cancel()
        for key, run in self.runs.items():
            self.system.run_ended(self, key, run, "crash")
        self.runs.clear()

    async def beat(self):
        failures = 0
        while self.is_up:
            self.seq += 1
            body = {"service": self.service, "address": self.address, "zone": "z-1", "version": "v1", "slots": 8,
                    "state": "draining" if self.is_draining else "ready", "cold_left_ms": 0,
                    "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0}, "labels": ["a", "r1-1"],
                    "clock_ms": self.clock_ms(), "seq": self.seq, "born": self.born, "machine": self.machine}
            address = self.control or random.choice(self.system.control_addresses)
            status, answer = await call(address, "POST", f"/Instances.Heartbeat/{self.id}", body, timeout=1.0)
            if status is not None and 200 <= status < 300:
                failures = 0
                self.control = (answer or {}).get("beat_addr") or address
                await asyncio.sleep(1.5)
            else:
                self.control = None
                failures += 1
                await asyncio.sleep(0.1)

    async def tick(self):
        while self.is_up:
            await asyncio.sleep(0.02)
            clock = self.clock_ms()
            if self.runs and clock > self.lease_ms:
                for key in list(self.runs):
                    self.end(key, "lapsed")
            for key, run in list(self.runs.items()):
                if run["stop_at"] is not None and clock >= run["stop_at"]:
                    self.end(key, "stopped")
                elif run["done_at"] is not None and clock >= run["done_at"]:
                    self.end(key, "done")

    def end(self, key, how):
        run = self.runs.pop(key)
        self.refused[key] = max(self.refused.get(key, 0), run["run"])
        self.ends_count += 1
        saved = self.saved(run) if how in ("stopped", "lapsed") else ""
        self.ended.append([self.ends_count, key, run["run"], how, saved])
        self.system.run_ended(self, key, run, how)
        self.changed.set()

    def saved(self, run):
        return ""

    def grant(self, until_ms):
        if until_ms is not None:
            self.lease_ms = max(self.lease_ms, min(until_ms, self.clock_ms() + HOLD_MAX_MS))

    async def handle(self, method, path, headers, body):
        if not self.is_up:
            return None
        if path == "/healthz":
            return 200, {}
        expected = headers.get("x-expect-instance")
        if expected is not None and expected != self.id:
            return 421, {"clock_ms": self.clock_ms(), "born": self.born}
        fields = json.loads(body) if body else {}
        hook = self.hooks.get(path)
        if hook is not None:
            answer = await hook(self, fields)
            if answer is not False:
                return answer
        return await self.carry_out(path, fields)

    async def carry_out(self, path, fields):
        if not self.is_up:
            return None
        if fields.get("fence", 0) < self.fence:
            return self.answer(409, reason="fence")
        self.fence = max(self.fence, fields.get("fence", 0))
        if path == "/run-start":
            return self.run_start(fields)
        if path == "/run-stop":
            key, number = fields["task"], fields["run"]
            self.refused[key] = max(self.refused.get(key, 0), number)
            run = self.runs.get(key)
            self.system.record.note("stop", self.id, key, number, "there" if run else "absent")
            if run is not None and run["run"] <= number and run["stop_at"] is None:
                run["stop_at"] = self.clock_ms() + STOP_MS
            return self.answer(200)
        if path == "/hold":
            return await self.hold(fields)
        if path == "/pace":
            return self.answer(200)
        return 404, {}

    def answer(self, status, **fields):
        return status, {"clock_ms": self.clock_ms(), "born": self.born, **fields}

    def run_start(self, fields):
        key, number = fields["task"], fields["run"]
        clock = self.clock_ms()
        until = fields.get("until_ms", 0)
        running = self.runs.get(key)
        if running is not None and running["run"] == number:
            return self.answer(200)
        if number <= self.refused.get(key, 0) or (running is not None and running["run"] > number):
            self.grant(until)
            return self.answer(409, reason="old")
        if until <= clock:
            return self.answer(409, reason="late")
        step = self.system.step_of(key)
        if self.guards and sum(run["cpu"] for run in self.runs.values()) + step.get("cpu", 0) > self.cpu:
            self.grant(until)
            return self.answer(409, reason="room")
        self.grant(until)
        work_ms = step.get("work_ms")
        self.runs[key] = {"run": number, "cpu": step.get("cpu", 0), "since": clock, "stop_at": None,
                          "done_at": None if work_ms is None else clock + work_ms}
        self.system.run_started(self, key, number, fields)
        return self.answer(200)

    async def hold(self, fields):
        seen = fields.get("last_seen", 0)
        self.ended = [row for row in self.ended if row[0] > seen]
        self.grant(fields.get("until_ms"))
        wait_until = time.monotonic() + min(fields.get("wait_ms", 0), 2000) / 1000
        while not self.ended and time.monotonic() < wait_until and self.is_up:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, wait_until - time.monotonic()))
            except asyncio.TimeoutError:
                break
        running = []
        for key, run in self.runs.items():
            if run["done_at"] is None:
                percent = 100
            else:
                percent = min(99, 100 * (self.clock_ms() - run["since"]) // max(1, run["done_at"] - run["since"]))
            running.append([key, run["run"], self.saved(run), percent, run["cpu"]])
        return self.answer(200, running=running, ended=self.ended[:500])


class System:
    """The project's processes and all stand-ins of one deployment."""

    def __init__(self, record, controls=3, entries=1, losses=1, settings=None):
        self.record, self.losses = record, losses
        self.extra = settings or {}
        self.net = f"127.{random.randint(20, 120)}.{random.randint(1, 250)}"
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.control_hosts = [f"{self.net}.{10 + i}" for i in range(controls)]
        self.entry_hosts = [f"{self.net}.{40 + i}" for i in range(entries)]
        self.cloud_host = f"{self.net}.60"
        ports = self.free_ports(6)
        self.control_port, self.peer_port, self.front_port, self.ready_port, self.worker_port, self.cloud_port = ports
        self.processes, self.logs = {}, {}
        self.workers, self.steps, self.runs_log, self.double = [], {}, [], []
        self.live_runs, self.done_runs = {}, {}
        self.roles = tomllib.load(open(os.path.join(ROOT, "deploy/system.toml"), "rb"))["roles"]
        self.cloud_hooks = {}
        self.is_closing = False
        self.vm_orders = []

    @property
    def control_addresses(self):
        return [f"{host}:{self.control_port}" for host in self.control_hosts]

    def free_ports(self, count):
        hosts = self.control_hosts + self.entry_hosts + [self.cloud_host, f"{self.net}.100"]
        found = []
        while len(found) < count:
            port = random.randint(15000, 30000)
            if port in found or port == 9464:
                continue
            try:
                for host in hosts:
                    with socket.socket() as probe:
                        probe.bind((host, port))
                found.append(port)
            except OSError:
                continue
        return found

    def settings_of(self, role, index, bootstrap):
        host = (self.control_hosts if role == "control" else self.entry_hosts)[index]
        fields = {
            "node": f"{role}-{index}", "role": role, "class": "core" if role == "control" else "front",
            "serves": "control" if role == "control" else "front", "ip": host, "zone": "z-1", "region": "reg-1",
            "zones.z-1": "reg-1", "port_range": f"{self.peer_port},{self.peer_port + 15}",
            "seeds": ",".join(self.control_addresses[:3]), "bootstrap": "true" if bootstrap else "false",
            "loss_counts": "true" if role == "control" else "false", "limits.max_fds": "1024",
            "limits.memory_mb": "430", "discovery": "registry", "entry": "vip", "heartbeat_ms": "1500",
            "contracts": "base,drain,config,cost,recover,sched,advice,upkeep,sharing",
            "tolerate.machines": str(self.losses), "tolerate.zones": "0", "tolerate.regions": "0",
            "bounds.grace_s": "6", "bounds.status_s": "120", "bounds.hold_max_ms": str(HOLD_MAX_MS),
            "bounds.stop_ms": "900", "bounds.early_ms": "250", "bounds.lease_ms": "3000", "bounds.notice_ms": "4500",
            "bounds.upkeep_s": "2", "bounds.move_s": "1.5", "bounds.far_x": "2", "bounds.pace_ms": "100",
            "bounds.gang_ms": "3000", "bounds.cancel_ms": "3000", "bounds.contact_ms": "3000",
            "bounds.require_fence": "false", "config_mode": "highest", "orders": "rpc",
            "cloud.address": f"{self.cloud_host}:{self.cloud_port}", "cloud.rate_per_s": "64.0",
            "cloud.duty_per_s": "64.0",
        }
        if role == "control":
            fields["listen.control"] = f"{host}:{self.control_port}"
            fields["data_dir"] = os.path.join(self.folder, f"data-{index}")
        else:
            fields["listen.front"] = f"{host}:{self.front_port}"
            fields["listen.ready"] = f"{host}:{self.ready_port}"
        fields.update(self.extra)
        return "".join(f"{name}={value}\n" for name, value in fields.items())

    async def spawn(self, role, index, bootstrap=True):
        """Starts one of the project's programs with the command of the deploy file."""
        if self.is_closing:
            raise Unable("the case has ended")
        name = f"{role}-{index}"
        path = os.path.join(self.folder, f"{name}.conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings_of(role, index, bootstrap))
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "JAVA_HOME", "LANG") if key in os.environ}
        environment["AUBURNSTREAM_CONFIG"] = path
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        words = shlex.split(self.roles[role]["run"])
        process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=environment, stdout=log, stderr=log, start_new_session=True)
        log.close()
        self.processes[name] = process
        if self.is_closing:
            process.kill()
        self.record.note("process", name, "started")
        return process

    def send_signal(self, name, number):
        self.record.note("signal", name, signal.Signals(number).name)
        self.processes[name].send_signal(number)

    def log_of(self, name):
        with open(os.path.join(self.folder, f"{name}.log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    async def leader(self):
        """Name of the running control process that began the latest leadership, by its log."""
        latest = (0, None)
        for i in range(len(self.control_hosts)):
            name = f"control-{i}"
            if name not in self.processes:
                continue
            for line in self.log_of(name).splitlines():
                if "event=leadership_begun" in line:
                    term = int(line.split("term=")[1].split(" ")[0])
                    latest = max(latest, (term, name))
        return latest[1]

    async def start_cloud(self):
        await serve(self.cloud_host, self.cloud_port, self.cloud)

    async def cloud(self, method, path, headers, body):
        hook = self.cloud_hooks.get(path.split("?")[0])
        if hook is not None:
            answer = await hook(headers, json.loads(body) if body else {})
            if answer is not False:
                return answer
        if path.startswith("/machines"):
            machines = [{"machine": w.machine, "pool": w.service, "state": "up" if w.is_up else "down", "zone": "z-1",
                         "labels": ["a", "r1-1"], "capacity": {"cpu": w.cpu, "mem_mb": w.mem_mb, "gpu": 0},
                         "id": w.id} for w in self.workers]
            return 200, {"machines": machines, "next_token": None}
        return 409, {"reason": "busy"}

    def config(self, version, timeout_ms=3000, routes=None):
        route = {"name": QUEUE, "host": HOST, "prefix": PREFIX, "kind": "mutating", "timeout_ms": timeout_ms,
                 "slo_ms": 600, "priority": 0, "service": SERVICE, "attempts": 4, "stretch": 1.6}
        services = [{"name": SERVICE, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": False,
                     "rejects_overload": True, "spare": False}]
        return {"version": version, "routes": [route] if routes is None else routes, "services": services,
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                           "idle_timeout_ms": 15000}}

    async def operate(self, method, path, body=None, seconds=20.0, timeout=1.0):
        """An operator's call, sent again to the daemons in turn until a 2xx or 4xx; returns (status, answer)."""
        end = time.monotonic() + seconds
        pause, last = 0.05, (None, None)
        addresses = list(self.control_addresses)
        random.shuffle(addresses)
        turn = 0
        while time.monotonic() < end:
            address = addresses[turn % len(addresses)]
            turn += 1
            last = await call(address, method, path, body, timeout=timeout)
            self.record.note("operator", method, path, "at", address, "->", last[0])
            if last[0] is not None and 200 <= last[0] < 500 and last[0] not in (408, 429):
                return last
            await asyncio.sleep(pause)
            pause = min(1.0, pause * 1.5)
        return last

    async def request(self, method, job, body=None, deadline_ms=3000, quiet=False):
        """One attempt of a client at an entry process chosen at random."""
        address = f"{random.choice(self.entry_hosts)}:{self.front_port}"
        headers = {"Host": HOST, "X-Deadline-Ms": str(deadline_ms)}
        status, answer = await call(address, method, PREFIX + job, body, headers, timeout=deadline_ms / 1000)
        if not quiet:
            self.record.note("client", method, job, "->", status, answer)
        return status, answer

    async def submit(self, job, steps, attempts=4):
        """Hands a job in with a client's retries; returns the last status."""
        for number, step in enumerate(steps):
            self.steps[(job, number)] = step
        wire = [{key: value for key, value in step.items() if key != "work_ms"} for step in steps]
        status = None
        for attempt in range(attempts):
            status, _ = await self.request("POST", job, {"spec": f"spec of {job}", "steps": wire})
            if status is not None and (200 <= status < 300 or status in (400, 404)):
                break
            await asyncio.sleep(0.3 * (attempt + 1))
        return status

    def step_of(self, key):
        job, _, step, _ = key.split(".")
        return self.steps.get((job, int(step)), {})

    def run_started(self, worker, key, number, fields):
        self.record.note("start", worker.id, key, number)
        others = self.live_runs.setdefault(key, {})
        if others:
            self.double.append((key, number, worker.id, dict(others)))
            self.record.note("TWO RUNS AT THE SAME TIME", key, number, worker.id, others)
        others[(worker.id, number)] = time.monotonic()

    def run_ended(self, worker, key, run, how):
        self.record.note("end", worker.id, key, run["run"], how)
        self.live_runs.get(key, {}).pop((worker.id, run["run"]), None)
        if how == "done":
            self.done_runs.setdefault(key, []).append((worker.id, run["run"], time.monotonic()))

    async def start(self, workers=4, bootstrap=True, config=None):
        """Starts the whole deployment, and returns once the first configuration is accepted."""
        await self.start_cloud()
        for i in range(len(self.control_hosts)):
            await self.spawn("control", i, bootstrap)
        for i in range(len(self.entry_hosts)):
            await self.spawn("entry", i, bootstrap)
        for i in range(workers):
            worker = Worker(self, f"i-{i:08x}", f"{self.net}.{100 + i}", f"m-{i:05x}")
            self.workers.append(worker)
        status, _ = await self.operate("POST", "/Config.Replace", config or self.config(1), seconds=40)
        if status != 200:
            raise Unable(f"the first configuration got {status}")
        for worker in self.workers:
            await worker.start()
        end = time.monotonic() + 20
        while time.monotonic() < end:
            states = [await call(f"{host}:{self.ready_port}", "GET", "/ready", timeout=1.0) for host in
                      self.entry_hosts]
            if all(status == 200 for status, _ in states):
                await asyncio.sleep(3.0)
                return
            await asyncio.sleep(0.2)
        raise Unable("the entry processes did not become ready")

    async def close(self, keep_logs=None):
        """Ends every process that was started, by its id, and removes the temporary folder."""
        self.is_closing = True
        for name, process in self.processes.items():
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
        for process in self.processes.values():
            await process.wait()
        if keep_logs is not None:
            os.makedirs(keep_logs, exist_ok=True)
            for name in self.processes:
                shutil.copy(os.path.join(self.folder, f"{name}.log"), keep_logs)
        shutil.rmtree(self.folder, ignore_errors=True)


class Unable(Exception):
    """The case could not run."""


def run_case(folder, case, limit_s=115.0, **options):
    """Runs `case(system, record, trouble)`, which returns the breaks of the rule; exits with 0, 1 or 2."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note("trouble", trouble)

    async def main():
        system = System(record, **options)
        task, loop = asyncio.current_task(), asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(case(system, record, trouble), limit_s)
        finally:
            await system.close(os.environ.get("KEEP_LOGS"))

    try:
        breaks = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as problem:  # an error of the script itself must not count as a break
        record.note("could not run:", repr(problem))
        print(f"could not run: {problem!r}")
        sys.exit(2)
    for text in breaks:
        record.note("BROKEN", text)
        print(text)
    print("the rule was broken" if breaks else "the rule held")
    sys.exit(1 if breaks else 0)
