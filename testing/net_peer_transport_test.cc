#include <doctest/doctest.h>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/push.h>

#include "net/net.h"
#include "testing/net_test_support.h"

namespace clementine::nettest {
namespace {

struct Peer {
  Peer(asio::io_context* io, const std::string& key)
      : transport(io, "127.0.0.1:0", key, [this](std::string bytes) {
          received.push_back(std::move(bytes));
        }) {}

  std::vector<std::string> received;
  PeerTransport transport;
};

// One message is enough: it is queued until the peer is connected.
bool SendOne(asio::io_context* io, Peer* from, const std::string& to,
             const std::function<bool()>& arrived) {
  from->transport.Send(to, "hello");
  return RunUntil(io, arrived);
}

}  // namespace

// Guards against messages that are lost on a working link or reach the wrong
// peer.
TEST_CASE("peer transport sends to one peer and to all") {
  asio::io_context io;
  Peer a(&io, "key");
  Peer b(&io, "key");
  Peer c(&io, "key");
  REQUIRE(SendOne(&io, &a, b.transport.address(),
                  [&] { return !b.received.empty(); }));
  CHECK(c.received.empty());
  REQUIRE(SendOne(&io, &a, c.transport.address(),
                  [&] { return !c.received.empty(); }));
  std::string all(1000, '\0');
  a.transport.Send("", all);
  CHECK(RunUntil(&io, [&] {
    return b.received.back() == all && c.received.back() == all;
  }));
  a.transport.Disconnect(c.transport.address());
  a.transport.Send("", "only b");
  CHECK(RunUntil(&io, [&] { return b.received.back() == "only b"; }));
  CHECK(c.received.back() == all);
}

// Guards against forged or damaged messages that reach a decision.
TEST_CASE("peer transport drops messages that aren't authentic") {
  asio::io_context io;
  Peer peer(&io, "key");
  Peer stranger(&io, "other key");
  REQUIRE(SendOne(&io, &stranger, peer.transport.address(),
                  [&] { return peer.transport.stats().rejected > 0; }));
  nng_socket raw;
  REQUIRE(nng_push0_open(&raw) == 0);
  std::string url = "tcp://" + peer.transport.address();
  REQUIRE(nng_dial(raw, url.c_str(), nullptr, 0) == 0);
  std::string code = MessageCode("key", std::string("\x01") + "body");
  std::string good = "\x01" + code + "body";
  std::vector<std::string> bad = {"", "\x01", good.substr(0, 33),
                                  "\x02" + code + "body",
                                  "\x01" + code + "bodx"};
  for (std::size_t i = 0; i < good.size(); i += 5) {
    bad.push_back(good);
    bad.back()[i] = static_cast<char>(bad.back()[i] ^ 1);
  }
  std::uint64_t before = peer.transport.stats().rejected;
  for (std::string& message : bad) {
    REQUIRE(nng_send(raw, message.data(), message.size(), 0) == 0);
  }
  REQUIRE(nng_send(raw, good.data(), good.size(), 0) == 0);
  CHECK(RunUntil(&io, [&] { return !peer.received.empty(); }));
  CHECK(peer.received == std::vector<std::string>{"body"});
  CHECK(peer.transport.stats().rejected >= before + bad.size());
  nng_close(raw);
}

// Guards against a peer that can't be reached blocking the daemon's thread.
TEST_CASE("peer transport never waits for a peer") {
  asio::io_context io;
  Peer peer(&io, "key");
  for (int i = 0; i < 500; ++i) peer.transport.Send("127.0.0.1:1", "lost");
  CHECK(peer.transport.stats().not_sent > 0);
  CHECK_THROWS_AS(PeerTransport(&io, "nowhere", "key", nullptr),
                  std::runtime_error);
}

// Guards against secrets that compare equal by prefix, and against a code that
// isn't HMAC-SHA256 (RFC 4231, test case 2).
TEST_CASE("secrets and message codes") {
  CHECK(SecretsEqual("token", "token"));
  CHECK_FALSE(SecretsEqual("token", "tokem"));
  CHECK_FALSE(SecretsEqual("token", "token2"));
  std::string code = MessageCode("Jefe", "what do ya want for nothing?");
  REQUIRE(code.size() == 32);
  CHECK(static_cast<unsigned char>(code[0]) == 0x5b);
  CHECK(static_cast<unsigned char>(code[31]) == 0x43);
}

}  // namespace clementine::nettest
