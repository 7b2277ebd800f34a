// Renewals and takeovers are conditional updates of one object, so at most one
// of several writers is granted each version. The version that a holder was
// granted stays valid for the lease's duration from before the holder sent the
// write. A candidate that received a version waits for that duration plus the
// longest order before it writes: by then the holder has stopped and its last
// order has ended.
//
// A write without an answer may take effect at any later time. The next step is
// a read; a stored record that carries our incarnation and renewal number is
// counted from the sending of the write with that number.

#include "core/lease.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "config/config.h"
#include "fmt/format.h"

namespace clementine {
namespace {

/// Parts of the lease after which it's renewed, and after which candidates
/// read.
constexpr int kRenewalsPerLease = 3;
/// Clocks of two hosts may differ in rate; the holder stops this part earlier.
constexpr int kDriftParts = 50;
/// A gap between calls of this part of the lease counts as a pause.
constexpr int kPauseParts = 5;
constexpr milliseconds kTakeoverSpread{500};
/// A takeover directly follows a read. Versions start again when an operator
/// deleted the object, so an old version can match another holder's lease.
constexpr milliseconds kTakeoverRead{2'000};
constexpr std::size_t kRememberedWrites = 16;

bool SameWrite(const LeaseRecord& a, const LeaseRecord& b) {
  return a.holder == b.holder && a.incarnation == b.incarnation &&
         a.term == b.term && a.renewal == b.renewal;
}

}  // namespace

std::string EncodeLease(const LeaseRecord& record) {
  nlohmann::json json = {{"holder", record.holder},
                         {"incarnation", record.incarnation},
                         {"term", record.term},
                         {"fence", record.fence},
                         {"renewal", record.renewal}};
  return JsonText(json);
}

LeaseRecord DecodeLease(const std::string& json) {
  try {
    nlohmann::json value = ParseJson(json);
    LeaseRecord record;
    record.holder = value.at("holder").get<std::string>();
    record.incarnation = value.at("incarnation").get<std::uint64_t>();
    record.term = value.at("term").get<std::uint64_t>();
    record.fence = value.at("fence").get<std::uint64_t>();
    record.renewal = value.at("renewal").get<std::uint64_t>();
    return record;
  } catch (const nlohmann::json::exception& error) {
    throw std::runtime_error(fmt::format("invalid lease: {}", error.what()));
  }
}

Lease::Lease(Options options, PlatformCalls* calls, Jitter* jitter)
    : m_options(std::move(options)),
      m_calls(calls),
      m_jitter(jitter),
      m_machine(&BuiltinChart("lease")) {}

void Lease::Apply(const char* event, Actions* out) {
  if (m_machine.Apply(event)) {
    out->push_back(LogDecision{"lease",
                               {{"event", event},
                                {"state", m_machine.state()},
                                {"holder", m_seen.holder},
                                {"fence", std::to_string(m_seen.fence)}}});
  }
}

bool Lease::ValidAt(TimePoint time) const {
  milliseconds valid = m_options.duration - m_options.duration / kDriftParts;
  return m_machine.state() == "held" && m_granted >= m_prove_from &&
         time < m_granted + valid;
}

bool Lease::Proven(TimePoint now) const {
  return ValidAt(now) && now - m_last_now <= m_options.duration / kPauseParts;
}

bool Lease::CanOrder(TimePoint now) const {
  return Proven(now) && ValidAt(now + m_options.longest_order);
}

void Lease::RaiseFence(std::uint64_t placement_fence) {
  m_placement_absent = false;
  if (placement_fence + 1 > m_least_fence) {
    m_least_fence = placement_fence + 1;
    if (m_own && m_record.fence < m_least_fence) {
      m_next = TimePoint{};
    }
  }
}

void Lease::Release(bool orders_settled, TimePoint now, Actions* out) {
  Apply("stop", out);
  if (m_machine.state() == "releasing" && orders_settled && !m_pending) {
    if (!m_must_read) {
      // If this write is lost, others wait until the lease has run out.
      LeaseRecord record = m_record;
      record.holder.clear();
      Put(record, now, out);
    }
    Apply("orders_settled", out);
  }
}

const Lease::Write* Lease::FindWrite(const LeaseRecord& record) const {
  for (const Write& write : m_writes) {
    if (SameWrite(write.record, record)) {
      return &write;
    }
  }
  return nullptr;
}

void Lease::Read(TimePoint now, Actions* out) {
  m_pending = m_calls->Get(CallOwner::kLease, m_options.key, now, out) != 0;
}

void Lease::Put(LeaseRecord record, TimePoint now, Actions* out) {
  record.incarnation = m_options.incarnation;
  record.renewal = ++m_renewal;
  record.fence = std::max(record.fence, m_least_fence);
  m_writes.push_back({record, now});
  if (m_writes.size() > kRememberedWrites) {
    m_writes.pop_front();
  }
  m_pending = m_calls->Put(CallOwner::kLease, m_options.key,
                           EncodeLease(record), m_version, now, out) != 0;
}

void Lease::Replied(const PendingCall& call, const ObjectReply& reply,
                    TimePoint now, Actions* out) {
  m_pending = false;
  bool failed = reply.status == ObjectStatus::kUnavailable ||
                reply.status == ObjectStatus::kUnknown;
  if (failed) {
    m_must_read |= call.write;
    m_next = m_backoff.OnFailure(now, m_jitter);
    m_waiting = "platform unavailable";
    return;
  }
  m_backoff.OnSuccess();
  if (call.write && reply.status == ObjectStatus::kOk) {
    Write write = m_writes.back();
    m_must_read = false;
    m_seen = write.record;
    m_seen_any = true;
    m_first_seen = now;
    m_version = reply.version;
    Granted(write.record, write.sent, now, out);
    return;
  }
  if (call.write) {
    // The reply's value can be missing; only a read shows who was granted it.
    m_must_read = true;
    m_next = now;
    return;
  }
  m_last_read = call.sent;
  SawVersion(reply, now, out);
}

void Lease::SawVersion(const ObjectReply& reply, TimePoint now, Actions* out) {
  m_must_read = false;
  m_next = now + m_jitter->Between(m_options.duration / (2 * kRenewalsPerLease),
                                   m_options.duration / kRenewalsPerLease);
  LeaseRecord record;
  if (reply.status == ObjectStatus::kOk) {
    try {
      record = DecodeLease(reply.value);
    } catch (const std::runtime_error& error) {
      // A damaged lease is waited for like one whose holder is unknown.
      record.holder = "damaged";
      record.term = record.fence = m_seen.term;
      out->push_back(LogDecision{"lease_damaged", {{"why", error.what()}}});
    }
  }
  std::uint64_t version = reply.status == ObjectStatus::kOk ? reply.version : 0;
  // Versions start again when an operator deleted the object in between.
  if (!m_seen_any || version != m_version || !SameWrite(record, m_seen)) {
    m_first_seen = now;
    m_spread = m_jitter->Between(milliseconds(0), kTakeoverSpread);
  }
  m_seen_any = true;
  m_version = version;
  m_seen = record;
  if (m_read_pause > milliseconds(0)) {
    m_next += m_jitter->Between(m_read_pause / 2, m_read_pause);
  }
  m_next = std::min(m_next, std::max(now, TakeoverTime()));
  const Write* own = FindWrite(record);
  m_own = false;
  if (own != nullptr && record.holder == m_options.node) {
    Granted(own->record, own->sent, now, out);
  } else {
    m_superseded = true;
    Apply("superseded", out);
  }
}

void Lease::Granted(const LeaseRecord& record, TimePoint sent, TimePoint now,
                    Actions* out) {
  m_own = record.holder == m_options.node;
  if (!m_own) {
    return;
  }
  if (std::exchange(m_superseded, false)) {
    ++m_tenure;
  }
  if (m_record.fence != record.fence) {
    out->push_back(LogDecision{"lease_fence",
                               {{"holder", record.holder},
                                {"term", std::to_string(record.term)},
                                {"fence", std::to_string(record.fence)}}});
  }
  m_record = record;
  m_granted = std::max(m_granted, sent);
  m_next = sent + m_options.duration / kRenewalsPerLease;
  m_waiting.clear();
  milliseconds valid = m_options.duration - m_options.duration / kDriftParts;
  if (m_granted >= m_prove_from && now < m_granted + valid) {
    Apply("granted", out);
  }
}

void Lease::Advance(bool may_compete, TimePoint now, Actions* out) {
  bool paused = m_last_now != TimePoint{} &&
                now - m_last_now > m_options.duration / kPauseParts;
  m_last_now = now;
  if (paused) {
    m_prove_from = now;
    m_next = m_own ? now : m_next;
  }
  if (m_machine.state() == "held" && !ValidAt(now)) {
    m_next = now;
    m_must_read = true;
    Apply("expired", out);
  }
  if (m_machine.Finished() || m_machine.state() == "releasing") {
    return;
  }
  if (m_pending || now < m_next) {
    return;
  }
  if (m_must_read) {
    if (may_compete || m_own) {
      Read(now, out);
    }
  } else if (m_own) {
    Put(m_record, now, out);
  } else if (may_compete) {
    AdvanceCandidate(now, out);
  }
}

TimePoint Lease::TakeoverTime() const {
  milliseconds wait = m_options.duration + m_options.longest_order;
  // Without a lease and a placement there was no holder to wait for.
  bool absent_new = m_version == 0 && m_placement_absent;
  if (absent_new || (m_version != 0 && m_seen.holder.empty()) ||
      m_options.mutation == Mutation::kTakeLeaseEarly) {
    wait = milliseconds(0);
  }
  return m_first_seen + wait + m_reserve_wait + m_spread;
}

void Lease::AdvanceCandidate(TimePoint now, Actions* out) {
  if (now < TakeoverTime() || now - m_last_read > kTakeoverRead) {
    m_waiting = "lease of " + m_seen.holder;
    Read(now, out);
    return;
  }
  LeaseRecord record;
  record.holder = m_options.node;
  record.term = m_seen.term + 1;
  record.fence = m_seen.fence + 1;
  Put(record, now, out);
}

}  // namespace clementine
