// Gates alone: one signal for each test.

#include "core/presence.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>

namespace clementine {
namespace {

using std::chrono::seconds;

const TimePoint kStart = TimePoint{} + seconds(1'000);

/// One group of two hosts that both answered at `now`.
struct Gate {
  Gate() : jitter(1), presence({"dc"}, &jitter) {
    PlacedGroup group;
    group.spec = "chat";
    group.epoch = 3;
    group.hosts = {"a", "b"};
    group.phase = GroupPhase::kServing;
    placement.groups["chat/0"] = group;
    presence.SetPlacement(placement);
    List(false);
    Advance(seconds(1));
    Answer("a", 3);
    Answer("b", 3);
  }

  void List(bool leaving) {
    std::vector<HostInfo> hosts = {{"a", "dc", "f", "1", 4, true, leaving},
                                   {"b", "dc", "f", "2", 4, true, false}};
    presence.SetHosts(hosts, now, &out);
  }

  void Advance(milliseconds time) {
    now += time;
    out.clear();
    presence.Advance(now, &out);
  }

  void Answer(const std::string& host, std::uint64_t epoch,
              bool leaving = false) {
    HostHealth health;
    health.host = host;
    health.state = "serving";
    health.group = "chat/0";
    health.epoch = epoch;
    health.hosts = {"a", "b"};
    health.leaving = leaving;
    presence.Answered(health, now, &out);
    presence.Advance(now, &out);
  }

  bool Open() const { return presence.views().at(0).open; }
  bool Leaving() const { return presence.views().at(0).leaving; }
  bool Probed(const std::string& host) const {
    return std::any_of(out.begin(), out.end(), [&](const auto& action) {
      const auto* probe = std::get_if<ProbeHost>(&action);
      return probe != nullptr && probe->host == host;
    });
  }

  Jitter jitter;
  Presence presence;
  Placement placement;
  TimePoint now = kStart;
  std::vector<ControlAction> out;
};

/// Another daemon's verdict that a host of the group is present.
PresenceUpdate Vouch(const std::string& host) {
  PresenceUpdate verdict;
  verdict.reporter = "peer";
  verdict.host = host;
  verdict.group = "chat/0";
  verdict.epoch = 3;
  verdict.present = true;
  return verdict;
}

TEST_CASE("a gate needs a recent answer of every host") {
  // Guards against requests to a group with an absent host (I1).
  Gate gate;
  CHECK(gate.Open());
  gate.Advance(milliseconds(2'900));
  CHECK(gate.Open());
  gate.Advance(milliseconds(100));
  CHECK_FALSE(gate.Open());
}

TEST_CASE("the age of health counts from the sending of the probe") {
  // Guards against an old answer that was long on its way.
  Gate gate;
  gate.Advance(milliseconds(1'300));
  CHECK(gate.Probed("a"));
  gate.Advance(milliseconds(3'100));
  gate.Answer("a", 3);
  gate.Answer("b", 3);
  CHECK_FALSE(gate.Open());
}

TEST_CASE("a gate needs group, epoch and phase to match") {
  // Guards against answers of an earlier composition of the group.
  Gate gate;
  gate.Advance(milliseconds(1'300));
  gate.Answer("a", 2);
  CHECK_FALSE(gate.Open());
  Gate loading;
  loading.placement.groups["chat/0"].phase = GroupPhase::kLoading;
  loading.presence.SetPlacement(loading.placement);
  loading.Advance(milliseconds(10));
  CHECK_FALSE(loading.Open());
}

TEST_CASE("a suspicion closes the gate and probes at once") {
  // Guards against new requests after a connection reset, and against a probe
  // sent before the suspicion reopening the gate.
  Gate gate;
  gate.Advance(milliseconds(1'300));
  REQUIRE(gate.Probed("a"));
  gate.Advance(milliseconds(10));
  gate.presence.Suspected("a", false, gate.now, &gate.out);
  gate.presence.Advance(gate.now, &gate.out);
  CHECK_FALSE(gate.Open());
  gate.Answer("a", 3);
  CHECK_FALSE(gate.Open());
  CHECK(gate.Probed("a"));
  gate.Advance(milliseconds(10));
  gate.Answer("a", 3);
  CHECK(gate.Open());
}

TEST_CASE("each leaving signal marks the group at once") {
  // Guards against new work for a host that is about to stop (I6).
  Gate header;
  header.presence.Suspected("a", true, header.now, &header.out);
  header.Advance(milliseconds(1));
  CHECK(header.Leaving());
  CHECK(header.Open());
  Gate health;
  health.Advance(milliseconds(1'300));
  health.Answer("b", 3, true);
  CHECK(health.Leaving());
  Gate list;
  list.List(true);
  list.Advance(milliseconds(1));
  CHECK(list.Leaving());
  Gate peer;
  PresenceUpdate verdict = Vouch("a");
  verdict.leaving = true;
  peer.presence.Reported(verdict, peer.now, &peer.out);
  peer.Advance(milliseconds(1));
  CHECK(peer.Leaving());
}

TEST_CASE("verdicts of others do not replace probes of this node's duty") {
  // Guards against reports that lengthen the presence timeout.
  Gate gate;
  gate.Advance(milliseconds(2'500));
  gate.presence.Reported(Vouch("a"), gate.now, &gate.out);
  gate.presence.Reported(Vouch("b"), gate.now, &gate.out);
  gate.Advance(milliseconds(400));
  CHECK(gate.Open());
  gate.Advance(milliseconds(200));
  CHECK_FALSE(gate.Open());
}

TEST_CASE("without a probing duty the verdicts of live daemons decide") {
  // Guards against a gate that is open on one daemon's word against another's,
  // or on the word of a daemon that is gone.
  Gate gate;
  gate.presence.probes = [](const std::string&) { return false; };
  gate.presence.RefreshDuties();
  for (const char* host : {"a", "b"}) {
    gate.presence.Reported(Vouch(host), gate.now, &gate.out);
  }
  gate.Advance(milliseconds(10'000));
  CHECK(gate.Open());
  PresenceUpdate denial = Vouch("a");
  denial.reporter = "other";
  denial.present = false;
  gate.presence.Reported(denial, gate.now, &gate.out);
  gate.Advance(milliseconds(1));
  CHECK_FALSE(gate.Open());
  gate.presence.SetReporters({"peer"});
  gate.Advance(milliseconds(1));
  CHECK(gate.Open());
  PresenceUpdate old = Vouch("b");
  old.epoch = 2;
  gate.presence.Reported(old, gate.now, &gate.out);
  gate.Advance(milliseconds(1));
  CHECK_FALSE(gate.Open());
  gate.presence.Reported(Vouch("b"), gate.now, &gate.out);
  gate.presence.SetReporters({});
  gate.Advance(milliseconds(1));
  CHECK_FALSE(gate.Open());
  CHECK(gate.Probed("a"));
}

TEST_CASE("a suspicion outweighs verdicts until the host answers here") {
  // Guards against routing over a broken link because others have none.
  Gate gate;
  gate.presence.probes = [](const std::string&) { return false; };
  gate.presence.RefreshDuties();
  for (const char* host : {"a", "b"}) {
    gate.presence.Reported(Vouch(host), gate.now, &gate.out);
  }
  gate.Advance(milliseconds(10));
  CHECK(gate.Open());
  gate.presence.Suspected("a", false, gate.now, &gate.out);
  gate.Advance(milliseconds(10));
  CHECK_FALSE(gate.Open());
  CHECK(gate.Probed("a"));
  gate.Answer("a", 3);
  gate.Advance(milliseconds(10'000));
  CHECK(gate.Open());
}

TEST_CASE("an empty host list changes nothing") {
  // Guards against a faulty list that empties the data centre.
  Gate gate;
  gate.presence.SetHosts({}, gate.now, &gate.out);
  gate.Advance(milliseconds(60));
  CHECK(gate.Open());
}

TEST_CASE("plain hosts become views of their service") {
  // Guards against plain services that are never routable.
  Gate gate;
  auto configuration = std::make_shared<Configuration>();
  configuration->services["orders"] = {"orders", {"p"}};
  gate.presence.SetConfiguration(configuration);
  std::vector<HostInfo> hosts = {{"p", "dc", "f", "3", 0, false, false}};
  gate.presence.SetHosts(hosts, gate.now, &gate.out);
  gate.Advance(seconds(1));
  HostHealth health;
  health.host = "p";
  gate.presence.Answered(health, gate.now, &gate.out);
  gate.presence.Advance(gate.now, &gate.out);
  const GroupView& view = gate.presence.views().back();
  CHECK(view.group == "orders/p");
  CHECK(view.open);
  gate.Advance(seconds(4));
  CHECK_FALSE(gate.presence.views().back().open);
}

}  // namespace
}  // namespace clementine
