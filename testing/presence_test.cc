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
  HostHealth report = *peer.presence.Find("a")->health;
  report.leaving = true;
  peer.presence.Reported(report, milliseconds(2'000), peer.now, &peer.out);
  peer.Advance(milliseconds(1));
  CHECK(peer.Leaving());
}

TEST_CASE("another daemon's report counts with its age") {
  // Guards against reports that lengthen the presence timeout.
  Gate gate;
  HostHealth report = *gate.presence.Find("a")->health;
  gate.Advance(milliseconds(2'500));
  gate.presence.Reported(report, milliseconds(1'000), gate.now, &gate.out);
  report.host = "b";
  gate.presence.Reported(report, milliseconds(1'000), gate.now, &gate.out);
  gate.Advance(milliseconds(1'900));
  CHECK(gate.Open());
  gate.Advance(milliseconds(200));
  CHECK_FALSE(gate.Open());
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
