// Renewals and takeovers are conditional updates of one object, which grant
// each version to at most one writer. A granted version is valid for the
// duration of the lease, measured from the time at which its holder sent the
// write. A candidate that received a version waits for that duration plus the
// maximum duration of an order before it writes. At that time the holder has
// stopped sending orders and its last order has ended.
//
// A write whose outcome is unknown may take effect at any later time, therefore
// it is followed by a read. If the stored record has this daemon's incarnation
// and renewal number, its validity is measured from the time at which the write
// with that number was sent.

#include "core/lease.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "config/config.h"
#include "core/store_era.h"
#include "fmt/format.h"

namespace clementine {
namespace {

/// The holder renews, and candidates read, this many times per lease duration.
constexpr int kRenewalsPerLease = 3;
/// Clocks of two hosts may run at different rates, therefore the holder treats
/// its lease as expired 1/50 of the duration early.
constexpr int kClockDriftDivisor = 50;
/// If Advance was not called for 1/5 of the duration, the process was paused.
constexpr int kPauseDivisor = 5;
constexpr milliseconds kMaxTakeoverJitter{500};
/// A takeover requires a read no older than this. Versions restart when an
/// operator deletes the object, so that an old version number could match the
/// lease of another holder.
constexpr milliseconds kMaxTakeoverReadAge{2'000};
constexpr std::size_t kMaxRememberedWrites = 16;
/// Fences below this keep the epochs of groups below 2^53.
constexpr std::uint64_t kMaxFence = std::uint64_t{1} << 33;

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
                                {"holder", m_stored.holder},
                                {"fence", std::to_string(m_stored.fence)}}});
  }
}

bool Lease::IsUnexpiredAt(TimePoint time) const {
  milliseconds valid =
      m_options.duration - m_options.duration / kClockDriftDivisor;
  return m_machine.state() == "held" && m_granted_sent_at >= m_resumed_at &&
         time < m_granted_sent_at + valid;
}

bool Lease::IsValid(TimePoint now) const {
  return IsUnexpiredAt(now) &&
         now - m_last_advance_at <= m_options.duration / kPauseDivisor;
}

bool Lease::CanSendOrders(TimePoint now) const {
  return IsValid(now) && IsUnexpiredAt(now + m_options.max_order_duration);
}

void Lease::RaiseFence(std::uint64_t placement_fence) {
  m_placement_absent = false;
  if (placement_fence + 1 > m_min_fence) {
    m_min_fence = placement_fence + 1;
    if (m_is_holder && m_record.fence < m_min_fence) {
      m_next_call_at = TimePoint{};
    }
  }
}

void Lease::SetStoreEra(std::uint64_t era) { m_store_era = era; }

void Lease::NoteFence(std::uint64_t fence) {
  // A damaged entry of a server must not use up the range of fences.
  if (fence < kMaxFence) m_noted_fence = std::max(m_noted_fence, fence);
}

void Lease::OnStoreRestored(std::uint64_t era, TimePoint now, Actions* out) {
  SetStoreEra(era);
  m_restored = true;
  NoteFence(m_record.fence);
  NoteFence(m_stored.fence);
  for (const Write& write : m_writes) NoteFence(write.record.fence);
  if (IsUnexpiredAt(now)) {
    m_retake_until = m_granted_sent_at + m_options.duration -
                     m_options.duration / kClockDriftDivisor;
  }
  // The restored record may be an earlier write of this daemon, which proves
  // nothing about the time since.
  m_writes.clear();
  m_granted_sent_at = TimePoint{};
  m_is_holder = false;
  m_superseded = true;
  m_stored_known = false;
  m_version = 0;
  m_must_read = true;
  m_next_call_at = now;
  m_waiting_for = "lease not read since the store was restored";
  Apply("expired", out);
}

// An old copy may be a released lease or lack the lease, although another
// daemon was granted it after the copy was made.
bool Lease::MayBeOldCopy() const {
  std::uint64_t first_fence = FirstFenceOfEra(m_store_era);
  if (first_fence == 0) return m_restored;
  bool never_held = m_version == 0 && m_options.first_start && !m_restored;
  return m_stored.fence < first_fence && !never_held;
}

void Lease::Release(bool orders_ended, TimePoint now, Actions* out) {
  Apply("stop", out);
  if (m_machine.state() == "releasing" && orders_ended && !m_pending) {
    if (!m_must_read) {
      // If this write is lost, candidates wait until the lease has expired.
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

void Lease::SendRead(TimePoint now, Actions* out) {
  m_pending = m_calls->Get(CallOwner::kLease, m_options.key, now, out) != 0;
}

void Lease::Put(LeaseRecord record, TimePoint now, Actions* out) {
  record.incarnation = m_options.incarnation;
  record.renewal = ++m_renewal;
  record.fence = std::max(record.fence, m_min_fence);
  m_writes.push_back({record, now});
  if (m_writes.size() > kMaxRememberedWrites) {
    m_writes.pop_front();
  }
  m_pending = m_calls->Put(CallOwner::kLease, m_options.key,
                           EncodeLease(record), m_version, now, out) != 0;
}

void Lease::OnReply(const PendingCall& call, const ObjectReply& reply,
                    TimePoint now, Actions* out) {
  m_pending = false;
  bool failed = reply.status == ObjectStatus::kUnavailable ||
                reply.status == ObjectStatus::kUnknown;
  if (failed) {
    m_must_read |= call.write;
    m_next_call_at = m_backoff.OnFailure(now, m_jitter);
    m_waiting_for = "platform unavailable";
    return;
  }
  m_backoff.OnSuccess();
  // A write that was sent before the store was restored proves no grant.
  bool outdated = call.write && m_writes.empty();
  if (call.write && reply.status == ObjectStatus::kOk && !outdated) {
    Write write = m_writes.back();
    m_must_read = false;
    m_stored = write.record;
    m_stored_known = true;
    m_version_seen_at = now;
    m_version = reply.version;
    OnGranted(write.record, write.sent_at, now, out);
    return;
  }
  if (call.write) {
    // The reply to a conflicting write may lack the stored value, therefore a
    // read determines the holder.
    m_must_read = true;
    m_next_call_at = now;
    return;
  }
  m_last_read_sent_at = call.sent;
  OnVersionRead(reply, now, out);
}

void Lease::OnVersionRead(const ObjectReply& reply, TimePoint now,
                          Actions* out) {
  m_must_read = false;
  m_next_call_at =
      now + m_jitter->Between(m_options.duration / (2 * kRenewalsPerLease),
                              m_options.duration / kRenewalsPerLease);
  LeaseRecord record;
  if (reply.status == ObjectStatus::kOk) {
    try {
      record = DecodeLease(reply.value);
    } catch (const std::runtime_error& error) {
      // A damaged record is treated as the lease of an unknown holder. Its term
      // and fence are unknown, and the last known term replaces both. The fence
      // of the stored placement remains a lower bound of the next fence
      // (m_min_fence).
      record.holder = "damaged";
      record.term = record.fence = m_stored.term;
      out->push_back(LogDecision{"lease_damaged", {{"why", error.what()}}});
    }
  }
  std::uint64_t version = reply.status == ObjectStatus::kOk ? reply.version : 0;
  // Versions restart when an operator deletes the object, so that an equal
  // version number alone does not identify the write.
  if (!m_stored_known || version != m_version || !SameWrite(record, m_stored)) {
    m_version_seen_at = now;
    m_takeover_jitter = m_jitter->Between(milliseconds(0), kMaxTakeoverJitter);
  }
  m_stored_known = true;
  m_version = version;
  m_stored = record;
  if (m_extra_read_delay > milliseconds(0)) {
    m_next_call_at +=
        m_jitter->Between(m_extra_read_delay / 2, m_extra_read_delay);
  }
  m_next_call_at = std::min(m_next_call_at, std::max(now, TakeoverTime()));
  const Write* own = FindWrite(record);
  m_is_holder = false;
  if (own != nullptr && record.holder == m_options.node) {
    OnGranted(own->record, own->sent_at, now, out);
  } else {
    m_superseded = true;
    Apply("superseded", out);
  }
}

void Lease::OnGranted(const LeaseRecord& record, TimePoint sent_at,
                      TimePoint now, Actions* out) {
  m_is_holder = record.holder == m_options.node;
  if (!m_is_holder) {
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
  m_granted_sent_at = std::max(m_granted_sent_at, sent_at);
  m_next_call_at = sent_at + m_options.duration / kRenewalsPerLease;
  m_waiting_for.clear();
  milliseconds valid =
      m_options.duration - m_options.duration / kClockDriftDivisor;
  if (m_granted_sent_at >= m_resumed_at && now < m_granted_sent_at + valid) {
    Apply("granted", out);
  }
}

void Lease::Advance(bool may_compete, TimePoint now, Actions* out) {
  bool paused = m_last_advance_at != TimePoint{} &&
                now - m_last_advance_at > m_options.duration / kPauseDivisor;
  m_last_advance_at = now;
  if (paused) {
    m_resumed_at = now;
    m_next_call_at = m_is_holder ? now : m_next_call_at;
  }
  if (m_machine.state() == "held" && !IsUnexpiredAt(now)) {
    m_next_call_at = now;
    m_must_read = true;
    Apply("expired", out);
  }
  if (m_machine.IsFinished() || m_machine.state() == "releasing") {
    return;
  }
  if (m_pending || now < m_next_call_at) {
    return;
  }
  if (m_must_read) {
    if (may_compete || m_is_holder) {
      SendRead(now, out);
    }
  } else if (m_is_holder) {
    Put(m_record, now, out);
  } else if (may_compete) {
    AdvanceCandidate(now, out);
  }
}

TimePoint Lease::TakeoverTime() const {
  bool own_grant = m_version_seen_at < m_retake_until && MayBeOldCopy();
  if (own_grant) return m_version_seen_at;
  milliseconds wait = m_options.duration + m_options.max_order_duration;
  // If neither lease nor placement exists, no earlier holder can be active.
  bool never_held = m_version == 0 && m_placement_absent;
  bool released = m_version != 0 && m_stored.holder.empty();
  if (((never_held || released) && !MayBeOldCopy()) ||
      m_options.mutation == Mutation::kTakeLeaseEarly) {
    wait = milliseconds(0);
  }
  return m_version_seen_at + wait + m_takeover_delay + m_takeover_jitter;
}

void Lease::AdvanceCandidate(TimePoint now, Actions* out) {
  if (now < TakeoverTime() || now - m_last_read_sent_at > kMaxTakeoverReadAge) {
    m_waiting_for = "lease of " + m_stored.holder;
    SendRead(now, out);
    return;
  }
  LeaseRecord record;
  record.holder = m_options.node;
  record.term = m_stored.term + 1;
  record.fence = m_stored.fence + 1;
  if (m_store_era > 0) {
    record.fence = std::max(
        {record.fence, m_noted_fence + 1, FirstFenceOfEra(m_store_era)});
  }
  Put(record, now, out);
}

}  // namespace clementine
