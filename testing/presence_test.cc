// Tests Presence alone. Each test uses one kind of signal that opens or closes
// a group.

#include "core/presence.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>

namespace clementine {
namespace {

using std::chrono::seconds;

const TimePoint kStart = TimePoint{} + seconds(1'000);

/// Presence with one group of two hosts; both answered a probe at `now`.
struct PresenceFixture {
  PresenceFixture() : jitter(1), presence({"dc"}, &jitter) {
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
    presence.OnProbeAnswered(health, now, &out);
    presence.Advance(now, &out);
  }

  bool IsOpen() const { return presence.views().at(0).open; }
  bool IsLeaving() const { return presence.views().at(0).leaving; }
  bool WasProbed(const std::string& host) const {
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

/// Returns another daemon's verdict that a host of the group is present.
PresenceUpdate MakePresentVerdict(const std::string& host) {
  PresenceUpdate verdict;
  verdict.reporter = "peer";
  verdict.host = host;
  verdict.group = "chat/0";
  verdict.epoch = 3;
  verdict.present = true;
  return verdict;
}

TEST_CASE("a group is open only with a recent answer of every host") {
  // Guards against requests to a group one of whose hosts doesn't answer.
  PresenceFixture fixture;
  CHECK(fixture.IsOpen());
  fixture.Advance(milliseconds(2'900));
  CHECK(fixture.IsOpen());
  fixture.Advance(milliseconds(100));
  CHECK_FALSE(fixture.IsOpen());
}

TEST_CASE("the age of health counts from the sending of the probe") {
  // Guards against treating an answer as fresh that was delayed in transit.
  PresenceFixture fixture;
  fixture.Advance(milliseconds(1'300));
  CHECK(fixture.WasProbed("a"));
  fixture.Advance(milliseconds(3'100));
  fixture.Answer("a", 3);
  fixture.Answer("b", 3);
  CHECK_FALSE(fixture.IsOpen());
}

TEST_CASE("a group is open only if epoch and phase match the placement") {
  // Guards against opening a group with health from an earlier epoch, whose
  // hosts can be others.
  PresenceFixture fixture;
  fixture.Advance(milliseconds(1'300));
  fixture.Answer("a", 2);
  CHECK_FALSE(fixture.IsOpen());
  PresenceFixture loading;
  loading.placement.groups["chat/0"].phase = GroupPhase::kLoading;
  loading.presence.SetPlacement(loading.placement);
  loading.Advance(milliseconds(10));
  CHECK_FALSE(loading.IsOpen());
}

TEST_CASE("a suspicion closes the group and probes the host at once") {
  // Guards against new requests after a connection reset, and against reopening
  // the group with the answer to a probe sent before the suspicion.
  PresenceFixture fixture;
  fixture.Advance(milliseconds(1'300));
  REQUIRE(fixture.WasProbed("a"));
  fixture.Advance(milliseconds(10));
  fixture.presence.OnHostSuspected("a", false, fixture.now, &fixture.out);
  fixture.presence.Advance(fixture.now, &fixture.out);
  CHECK_FALSE(fixture.IsOpen());
  fixture.Answer("a", 3);
  CHECK_FALSE(fixture.IsOpen());
  CHECK(fixture.WasProbed("a"));
  fixture.Advance(milliseconds(10));
  fixture.Answer("a", 3);
  CHECK(fixture.IsOpen());
}

TEST_CASE("each kind of leaving signal marks the group as leaving at once") {
  // Guards against new requests to a host that is about to stop.
  PresenceFixture header;
  header.presence.OnHostSuspected("a", true, header.now, &header.out);
  header.Advance(milliseconds(1));
  CHECK(header.IsLeaving());
  CHECK(header.IsOpen());
  PresenceFixture health;
  health.Advance(milliseconds(1'300));
  health.Answer("b", 3, true);
  CHECK(health.IsLeaving());
  PresenceFixture list;
  list.List(true);
  list.Advance(milliseconds(1));
  CHECK(list.IsLeaving());
  PresenceFixture peer;
  PresenceUpdate verdict = MakePresentVerdict("a");
  verdict.leaving = true;
  peer.presence.OnPeerVerdict(verdict, peer.now, &peer.out);
  peer.Advance(milliseconds(1));
  CHECK(peer.IsLeaving());
}

TEST_CASE(
    "verdicts of other daemons do not replace probes of an assigned host") {
  // Guards against verdicts of other daemons that extend the presence timeout.
  PresenceFixture fixture;
  fixture.Advance(milliseconds(2'500));
  fixture.presence.OnPeerVerdict(MakePresentVerdict("a"), fixture.now,
                                 &fixture.out);
  fixture.presence.OnPeerVerdict(MakePresentVerdict("b"), fixture.now,
                                 &fixture.out);
  fixture.Advance(milliseconds(400));
  CHECK(fixture.IsOpen());
  fixture.Advance(milliseconds(200));
  CHECK_FALSE(fixture.IsOpen());
}

TEST_CASE(
    "verdicts of live daemons decide about hosts that are not probed here") {
  // Guards against opening a group when verdicts contradict each other, or by
  // the verdict of a daemon that is no longer live.
  PresenceFixture fixture;
  fixture.presence.probes_host = [](const std::string&) { return false; };
  fixture.presence.RefreshAssignments();
  for (const char* host : {"a", "b"}) {
    fixture.presence.OnPeerVerdict(MakePresentVerdict(host), fixture.now,
                                   &fixture.out);
  }
  fixture.Advance(milliseconds(10'000));
  CHECK(fixture.IsOpen());
  PresenceUpdate denial = MakePresentVerdict("a");
  denial.reporter = "other";
  denial.present = false;
  fixture.presence.OnPeerVerdict(denial, fixture.now, &fixture.out);
  fixture.Advance(milliseconds(1));
  CHECK_FALSE(fixture.IsOpen());
  fixture.presence.SetReporters({"peer"});
  fixture.Advance(milliseconds(1));
  CHECK(fixture.IsOpen());
  PresenceUpdate old = MakePresentVerdict("b");
  old.epoch = 2;
  fixture.presence.OnPeerVerdict(old, fixture.now, &fixture.out);
  fixture.Advance(milliseconds(1));
  CHECK_FALSE(fixture.IsOpen());
  fixture.presence.OnPeerVerdict(MakePresentVerdict("b"), fixture.now,
                                 &fixture.out);
  fixture.presence.SetReporters({});
  fixture.Advance(milliseconds(1));
  CHECK_FALSE(fixture.IsOpen());
  CHECK(fixture.WasProbed("a"));
}

TEST_CASE(
    "a suspicion overrides verdicts until the host answers a probe of this "
    "daemon") {
  // Guards against requests over a link that is broken only at this daemon.
  PresenceFixture fixture;
  fixture.presence.probes_host = [](const std::string&) { return false; };
  fixture.presence.RefreshAssignments();
  for (const char* host : {"a", "b"}) {
    fixture.presence.OnPeerVerdict(MakePresentVerdict(host), fixture.now,
                                   &fixture.out);
  }
  fixture.Advance(milliseconds(10));
  CHECK(fixture.IsOpen());
  fixture.presence.OnHostSuspected("a", false, fixture.now, &fixture.out);
  fixture.Advance(milliseconds(10));
  CHECK_FALSE(fixture.IsOpen());
  CHECK(fixture.WasProbed("a"));
  fixture.Answer("a", 3);
  fixture.Advance(milliseconds(10'000));
  CHECK(fixture.IsOpen());
}

TEST_CASE("an empty host list changes nothing") {
  // Guards against dropping all hosts because of a faulty host list.
  PresenceFixture fixture;
  fixture.presence.SetHosts({}, fixture.now, &fixture.out);
  fixture.Advance(milliseconds(60));
  CHECK(fixture.IsOpen());
}

TEST_CASE("a host without an engine becomes a view of its service") {
  // Guards against services without engines that never get requests.
  PresenceFixture fixture;
  auto configuration = std::make_shared<Configuration>();
  configuration->services["orders"] = {"orders", {"p"}};
  fixture.presence.SetConfiguration(configuration);
  std::vector<HostInfo> hosts = {{"p", "dc", "f", "3", 0, false, false}};
  fixture.presence.SetHosts(hosts, fixture.now, &fixture.out);
  fixture.Advance(seconds(1));
  HostHealth health;
  health.host = "p";
  fixture.presence.OnProbeAnswered(health, fixture.now, &fixture.out);
  fixture.presence.Advance(fixture.now, &fixture.out);
  const GroupView& view = fixture.presence.views().back();
  CHECK(view.group == "orders/p");
  CHECK(view.open);
  fixture.Advance(seconds(4));
  CHECK_FALSE(fixture.presence.views().back().open);
}

}  // namespace
}  // namespace clementine
