// What is stored is the truth: after a conflict or an unknown outcome the
// object is read and adopted, whoever wrote it. After an unknown outcome the
// object is also rewritten once, because a conditional update that is still
// under way can only be excluded by a newer version.

#include "core/placement_store.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "fmt/format.h"

namespace clementine {

void PlacementStore::Observed(std::uint64_t version, const std::string& value,
                              Actions* out) {
  if (version == 0 && m_known) {
    // Deleted by an operator; the known placement stays in force, and versions
    // start again.
    m_version = 0;
  } else if (version > m_version) {
    Adopt(version, value, out);
  }
}

void PlacementStore::Adopt(std::uint64_t version, const std::string& value,
                           Actions* out) {
  if (version == 0) {
    // Nothing is stored. What is known here is written again, so that deleting
    // the object doesn't unload every group.
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
      m_waiting = "repair of the damaged placement object";
      out->push_back(LogDecision{"placement_damaged", {{"why", error.what()}}});
      return;
    }
  }
  // Epochs never decrease, also when an operator deleted the object.
  for (const auto& [group, epoch] : m_placement.epochs) {
    std::uint64_t& known = read.epochs[group];
    known = std::max(known, epoch);
  }
  m_damaged = false;
  m_known = true;
  m_waiting.clear();
  m_version = version;
  if (!(read == m_placement)) {
    m_placement = std::move(read);
    ++m_changes;
  }
}

void PlacementStore::Replied(const PendingCall& call, const ObjectReply& reply,
                             TimePoint now, Actions* out) {
  m_pending = false;
  if (reply.status == ObjectStatus::kUnavailable ||
      reply.status == ObjectStatus::kUnknown) {
    if (call.write && reply.status == ObjectStatus::kUnknown) {
      m_must_read = m_must_claim = true;
    }
    m_next = m_backoff.OnFailure(now, m_jitter);
    m_waiting = "platform unavailable";
    return;
  }
  m_backoff.OnSuccess();
  m_waiting.clear();
  if (!call.write) {
    m_must_read = false;
    bool found = reply.status == ObjectStatus::kOk;
    Adopt(found ? reply.version : 0, reply.value, out);
    return;
  }
  if (reply.status != ObjectStatus::kOk) {
    m_must_read = true;
    m_next = now;
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

bool PlacementStore::FenceTooLow(std::uint64_t fence) const {
  if (m_pending || m_must_read || m_claimed || m_version == 0) {
    return false;
  }
  bool ours = m_placement.write_id.starts_with(m_writer + "/");
  return ours ? m_placement.fence > fence : m_placement.fence >= fence;
}

bool PlacementStore::Claimed(std::uint64_t fence) const {
  return m_claimed && !m_damaged && !m_pending && !m_must_read &&
         !m_must_claim && m_placement.fence == fence;
}

void PlacementStore::Advance(std::uint64_t fence, TimePoint now, Actions* out) {
  if (m_pending || now < m_next) {
    return;
  }
  if (m_must_read || m_damaged) {
    m_pending = m_calls->Get(CallOwner::kPlacement, m_key, now, out) != 0;
    if (m_damaged) {
      m_next = m_backoff.OnFailure(now, m_jitter);
    }
    return;
  }
  if (!FenceTooLow(fence) && (m_placement.fence < fence || m_must_claim)) {
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
  next.write_id = fmt::format("{}/{}", m_writer, ++m_writes);
  m_written = std::move(next);
  m_pending =
      m_calls->Put(CallOwner::kPlacement, m_key, EncodePlacement(m_written),
                   m_version, now, out) != 0;
}

}  // namespace clementine
