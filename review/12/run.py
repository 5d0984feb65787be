"""A worker fails part of its requests with 503 after it has run them, without X-Not-Run. The machines pass the 503 on,
which promises the consumer that the request has not run; the consumer sends the payment again."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "kit3"))
import mesh as kit  # noqa: E402

WORKERS = 7
SHARE_FAILED = 0.45  # x of `srv_grey`
SPELLS = 3
SPELL_S = 6.5        # for_s of `srv_grey`
PAUSE_S = 5
CLIENTS = 40
PROMISES = (408, 421, 429, 503)


def pay(mesh, index, until, orders):
    """Sends payments; after a promise that one has not run, sends it once more on a new connection."""
    count = 0
    while time.monotonic() < until:
        count += 1
        order = {"name": f"{index:02x}{count:05x}", "attempts": [], "statuses": []}
        orders.append(order)
        for turn in range(2):
            attempt = f"{order['name']}{turn:02x}"
            node = mesh.nodes[(index + count + turn) % WORKERS]
            headers = {"Host": kit.HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": "3000"}
            status, answer, _ = kit.raw_request(node.outbound, "POST", "/payments/?ms=250", headers,
                                                order["name"].encode())
            order["attempts"].append(attempt)
            order["statuses"].append(status)
            if status not in PROMISES:
                break
            time.sleep(min(1.0, float(answer.get("retry-after", "0.1"))))
        time.sleep(0.1)


def play(trouble, note):
    mesh = kit.new_mesh()
    for index in range(WORKERS):
        mesh.add(f"machine-{index}", f"zone-{'abc'[index % 3]}", "sales")
    spell = mesh.folder / "fails"
    mesh.nodes[2].worker_options = {"fails": SHARE_FAILED, "fails_while": str(spell)}
    mesh.start([kit.route("/payments/", "sales", kind="non_idempotent")], ["sales"])
    time.sleep(4)
    orders = []
    until = time.monotonic() + SPELLS * (PAUSE_S + SPELL_S)
    threads = [threading.Thread(target=pay, args=(mesh, index, until, orders)) for index in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for _ in range(SPELLS):
        time.sleep(PAUSE_S)
        if trouble:
            spell.touch()
            note(f"one of {WORKERS} workers fails {SHARE_FAILED} of its requests for {SPELL_S} s")
        time.sleep(SPELL_S)
        spell.unlink(missing_ok=True)
    for thread in threads:
        thread.join()
    started = {event["attempt"] for event in mesh.run_events() if event["event"] == "started"}
    broken, twice = [], []
    for order in orders:
        answered = list(zip(order["attempts"], order["statuses"]))
        broken += [attempt for attempt, status in answered if status in PROMISES and attempt in started]
        if sum(attempt in started for attempt in order["attempts"]) > 1:
            twice.append(order["name"])
        if order["statuses"] != [200]:
            note(", ".join(f"{attempt}: {status}" + (" and has run" if attempt in started else "")
                           for attempt, status in answered))
    if len(orders) < 200:
        raise kit.CannotRun("too few requests")
    note(f"{len(orders)} payments; {len(broken)} requests were answered {PROMISES} and have run; allowed are 0")
    note(f"{len(twice)} payments ran twice, as the consumer sent them again after the promise")
    return mesh, not broken


kit.run_case(play)
