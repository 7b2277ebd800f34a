// The account of the memory and the descriptors that a process holds for its
// connections, and the order in which connections are closed when one of its
// parts is full. Nothing here reads a clock or a socket.
//
//   MemoryAccount account(PlanMemory(160'000'000));
//   account.callers->Change(0, 4'096);
//   if (account.callers->excess() > 0) ...
#ifndef NET_MEMORY_ACCOUNT_H_
#define NET_MEMORY_ACCOUNT_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <vector>

namespace clementine {

/// Division of a process's memory, in bytes. The defaults are used if the
/// memory of the process is unknown.
struct MemoryPlan {
  std::size_t program = 0;    ///< Code, configuration, lists and logs.
  std::size_t allocator = 0;  ///< Freed bytes that the allocator keeps.
  std::size_t callers = 33'554'432;
  std::size_t health = 2'097'152;
  std::size_t peers = 16'777'216;
  std::size_t backends = 33'554'432;
  std::size_t platform = 32'000'000;
  std::size_t changes = 25'165'824;  ///< Frames from other daemons.

  std::size_t sum() const {
    return program + allocator + callers + health + peers + backends +
           platform + changes;
  }
};

/// Divides the memory of a process; the sum of the parts is at most `memory`.
/// @param memory In bytes; 0: unknown, which gives the defaults.
MemoryPlan PlanMemory(std::size_t memory);

/// Division of a process's descriptors. The defaults are used if their number
/// is unknown.
struct DescriptorPlan {
  std::size_t reserve = 0;  ///< Platform, outgoing peers, listeners, logs.
  std::size_t callers = 4'096;
  std::size_t health = 4'096;
  std::size_t peers = 600;
  std::size_t backends = 0;  ///< 0: unlimited.

  std::size_t sum() const {
    return reserve + callers + health + peers + backends;
  }
};

/// Divides the descriptors of a process; the sum of the parts is at most
/// `descriptors`. A request needs a descriptor for its caller and one for its
/// backend server, so both get the same number.
/// @param descriptors 0: unknown, which gives the defaults.
DescriptorPlan PlanDescriptors(std::size_t descriptors);

/// One part of the account. Holders add what they hold; who has to give back
/// when the part is full is decided by ReclaimOrder.
class MemoryPart {
 public:
  explicit MemoryPart(std::size_t limit) : m_limit(limit) {}

  /// A holder's bytes change from `before` to `after`.
  void Change(std::size_t before, std::size_t after) {
    m_used += after;
    m_used -= before;
  }
  std::size_t used() const { return m_used; }
  std::size_t limit() const { return m_limit; }
  /// Bytes above the limit.
  std::size_t excess() const { return m_used > m_limit ? m_used - m_limit : 0; }

 private:
  std::size_t m_limit;
  std::size_t m_used = 0;
};

/// The parts that connections use. No part can take bytes of another, so
/// callers can't use up what is reserved for health, peers and the platform.
struct MemoryAccount {
  explicit MemoryAccount(const MemoryPlan& divided);

  MemoryPlan plan;
  std::shared_ptr<MemoryPart> callers;
  std::shared_ptr<MemoryPart> health;
  std::shared_ptr<MemoryPart> peers;
};

/// What a connection does, as far as it matters for closing it.
enum class ConnectionUse {
  kUnproven,  ///< Sends a request, or is idle and had no successful answer.
  kIdle,      ///< Idle after a successful answer.
  kRunning,   ///< Its request runs; nothing waits to be sent.
  kSending,   ///< Bytes wait to be read by the client.
};

/// Clients that have read nothing for this long count as stalled.
inline constexpr std::chrono::milliseconds kStalledReader{1'000};

struct HeldConnection {
  ConnectionUse use = ConnectionUse::kUnproven;
  std::size_t bytes = 0;
  /// Time for which it has made no progress. Of a request that is being read,
  /// the longer of the time since its last byte, and the time since it began
  /// less what its bytes justify at the minimum rate; otherwise the time since
  /// it became idle or since the client last read something.
  std::chrono::milliseconds stalled{0};
};

/// Returns the indices of the connections that may be closed for others, in the
/// order in which they are closed: first unfinished requests, idle connections
/// without a successful answer and clients that have read nothing for a second;
/// then other clients for which bytes wait. Within each class, the product of
/// bytes and time without progress decides, so an ordinary request that has
/// just arrived comes last. Connections with a running request and those that
/// are idle after a successful answer aren't listed.
std::vector<std::size_t> ReclaimOrder(
    const std::vector<HeldConnection>& connections);

/// Returns the time until which a transfer may last: `grace`, and a second for
/// each `bytes_per_second` bytes that it has transferred.
std::chrono::milliseconds TransferTime(std::chrono::milliseconds grace,
                                       std::size_t bytes,
                                       std::size_t bytes_per_second);

}  // namespace clementine

#endif  // NET_MEMORY_ACCOUNT_H_
