// The stored object is authoritative: after a conflict or an unknown outcome it
// is read and adopted, whichever daemon wrote it. After an unknown outcome it
// is also rewritten once, because only a newer version ensures that the
// outstanding conditional update fails.

#include "core/placement_store.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "fmt/format.h"

namespace clementine {

void PlacementStore::OnObserved(std::uint64_t version, const std::string& value,
                                Actions* out) {
  if (version == 0 && m_known) {
    // An operator deleted the object. The known placement stays in force, and
    // versions restart.
    m_version = 0;
  } else if (version > m_version) {
    Adopt(version, value, out);
  }
}

void PlacementStore::OnStoreRestored(std::uint64_t first_fence) {
  m_first_fence = first_fence;
  m_version = 0;
  m_must_read = m_must_claim = true;
  m_claimed = false;
  m_next_call_at = TimePoint{};
}

void PlacementStore::Adopt(std::uint64_t version, const std::string& value,
                           Actions* out) {
  if (version == 0) {
    // No object is stored. The known placement is written again, so that a
    // deletion of the object does not unload all groups.
    m_damaged = false;
    m_known = true;
    m_version = 0;
    return;
  }
  Placement read;
  {
    try {
      read = DecodePlacement(value);
    } catch (const std::runtime_error& error) {
      m_damaged = true;
      m_waiting_for = "repair of the damaged placement object";
      out->push_back(LogDecision{"placement_damaged", {{"why", error.what()}}});
      return;
    }
  }
  if (m_known && read.fence < m_first_fence) {
    m_damaged = false;
    m_version = version;
    return;
  }
  // Epochs never decrease, even after an operator deleted the object.
  for (const auto& [group, epoch] : m_placement.epochs) {
    std::uint64_t& known = read.epochs[group];
    known = std::max(known, epoch);
  }
  m_damaged = false;
  m_known = true;
  m_waiting_for.clear();
  m_version = version;
  if (!(read == m_placement)) {
    m_placement = std::move(read);
    ++m_changes;
  }
}

void PlacementStore::OnReply(const PendingCall& call, const ObjectReply& reply,
                             TimePoint now, Actions* out) {
  m_pending = false;
  if (reply.status == ObjectStatus::kUnavailable ||
      reply.status == ObjectStatus::kUnknown) {
    if (call.write && reply.status == ObjectStatus::kUnknown) {
      m_must_read = m_must_claim = true;
    }
    m_next_call_at = m_backoff.OnFailure(now, m_jitter);
    m_waiting_for = "platform unavailable";
    return;
  }
  m_backoff.OnSuccess();
  m_waiting_for.clear();
  if (!call.write) {
    m_must_read = false;
    bool found = reply.status == ObjectStatus::kOk;
    Adopt(found ? reply.version : 0, reply.value, out);
    return;
  }
  if (reply.status != ObjectStatus::kOk) {
    m_must_read = true;
    m_next_call_at = now;
    if (m_mutation == Mutation::kUnconditionalWrite) {
      m_version = reply.version;
      Put(m_written, now, out);
    }
    return;
  }
  m_must_claim = false;
  m_claimed = true;
  m_version = std::max(m_version, reply.version);
  if (!(m_written == m_placement)) {
    m_placement = m_written;
    ++m_changes;
  }
}

bool PlacementStore::IsFenceTooLow(std::uint64_t fence) const {
  if (m_pending || m_must_read || m_claimed || m_version == 0) {
    return false;
  }
  bool ours = m_placement.write_id.starts_with(m_writer + "/");
  return ours ? m_placement.fence > fence : m_placement.fence >= fence;
}

bool PlacementStore::IsClaimed(std::uint64_t fence) const {
  return m_claimed && !m_damaged && !m_pending && !m_must_read &&
         !m_must_claim && m_placement.fence == fence;
}

void PlacementStore::Advance(std::uint64_t fence, TimePoint now, Actions* out) {
  if (m_pending || now < m_next_call_at) {
    return;
  }
  if (m_must_read || m_damaged) {
    m_pending = m_calls->Get(CallOwner::kPlacement, m_key, now, out) != 0;
    if (m_damaged) {
      m_next_call_at = m_backoff.OnFailure(now, m_jitter);
    }
    return;
  }
  if (!IsFenceTooLow(fence) && (m_placement.fence < fence || m_must_claim)) {
    Placement next = m_placement;
    next.fence = fence;
    Put(std::move(next), now, out);
  }
}

void PlacementStore::Write(Placement next, std::uint64_t fence, TimePoint now,
                           Actions* out) {
  next.fence = fence;
  Put(std::move(next), now, out);
}

void PlacementStore::Put(Placement next, TimePoint now, Actions* out) {
  next.min_epoch = std::max(next.min_epoch, m_first_fence);
  next.write_id = fmt::format("{}/{}", m_writer, ++m_writes);
  m_written = std::move(next);
  m_pending =
      m_calls->Put(CallOwner::kPlacement, m_key, EncodePlacement(m_written),
                   m_version, now, out) != 0;
}

}  // namespace clementine
