"""A model worker as a process of its own. Its answers are streams of events with
neither a length nor chunks; the end of the connection ends them. Between two
parts of a stream it works on the next token.

usage: unframed_worker.py PORT ID EVENTS_BEFORE WORK_SECONDS EVENTS_AFTER"""

import socket
import sys
import threading
import time

PORT, ID = int(sys.argv[1]), sys.argv[2]
BEFORE, WORK_S, AFTER = int(sys.argv[3]), float(sys.argv[4]), int(sys.argv[5])


def event(number):
    return f"id: {number}\ndata: {'w' * 4000}\n\n".encode()


def serve(connection):
    reader = connection.makefile("rb")
    while True:
        line = reader.readline()
        if not line:
            return
        target = line.split()[1].decode()
        headers = {}
        while True:
            field = reader.readline().decode().strip()
            if not field:
                break
            name, _, value = field.partition(":")
            headers[name.lower()] = value.strip()
        reader.read(int(headers.get("content-length", 0)))
        own = f"X-Clementinelb-Instance-Id: {ID}\r\n"
        attempt = headers.get("x-clementinelb-attempt-id")
        if attempt:
            own += f"X-Clementinelb-Attempt-Id: {attempt}\r\n"
        expected = headers.get("x-clementinelb-expected-instance")
        status = 421 if expected not in (None, ID) else 200
        if status == 421 or target == "/healthz":
            connection.sendall((f"HTTP/1.1 {status} Status\r\n{own}"
                                "Content-Length: 0\r\n\r\n").encode())
            continue
        print("begins", attempt, flush=True)
        connection.sendall((
            f"HTTP/1.1 200 OK\r\n{own}"
            "X-Clementinelb-Response-Signature: sig\r\n"
            "Content-Type: text/event-stream\r\n\r\n").encode())
        for number in range(1, BEFORE + 1):
            connection.sendall(event(number))
        print("sent", attempt, BEFORE, flush=True)
        time.sleep(WORK_S)
        for number in range(BEFORE + 1, BEFORE + AFTER + 1):
            connection.sendall(event(number))
        print("ends", attempt, BEFORE + AFTER, flush=True)
        reader.close()
        connection.close()
        return


def guarded(connection):
    try:
        serve(connection)
    except OSError as error:
        print("connection", error, flush=True)


listener = socket.socket()
listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
listener.bind(("127.0.0.1", PORT))
listener.listen(64)
print("ready", flush=True)
while True:
    accepted, _ = listener.accept()
    threading.Thread(target=guarded, args=(accepted,), daemon=True).start()
