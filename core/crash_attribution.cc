// A greedy set cover. The number of unattributed crashes of a key only
// decreases, so that a heap with outdated counts yields the maximum: an entry
// whose count is outdated is pushed back with its current count.

#include "core/crash_attribution.h"

#include <algorithm>
#include <queue>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace clementine {
namespace {

class Attribution {
 public:
  explicit Attribution(std::vector<CrashEvidence> evidence)
      : m_evidence(std::move(evidence)) {
    for (CrashEvidence& entry : m_evidence) {
      std::sort(entry.crashes.begin(), entry.crashes.end());
      for (const std::string& crash : entry.crashes) {
        m_by_crash[crash].push_back(&entry);
      }
      Push(entry);
    }
  }

  std::vector<CrashCause> Run() {
    std::vector<CrashCause> causes;
    while (!m_heap.empty()) {
      auto [count, preferred, order] = m_heap.top();
      m_heap.pop();
      const CrashEvidence& top = *order.entry;
      std::vector<std::string> crashes = Unattributed(top);
      if (crashes.size() < count) {
        Push(top);
        continue;
      }
      causes.push_back(MakeCause(std::move(crashes)));
    }
    return causes;
  }

 private:
  /// Orders entries by key, so that the smallest key is on top of the heap.
  struct ByKey {
    const CrashEvidence* entry;
    friend bool operator<(const ByKey& a, const ByKey& b) {
      return a.entry->key > b.entry->key;
    }
  };
  using HeapEntry = std::tuple<std::size_t, bool, ByKey>;

  void Push(const CrashEvidence& entry) {
    std::size_t count = Unattributed(entry).size();
    if (count == 0 || count < entry.limit) return;
    m_heap.push({count, entry.preferred, ByKey{&entry}});
  }

  std::vector<std::string> Unattributed(const CrashEvidence& entry) const {
    std::vector<std::string> crashes;
    for (const std::string& crash : entry.crashes) {
      if (m_attributed.count(crash) == 0) crashes.push_back(crash);
    }
    return crashes;
  }

  CrashCause MakeCause(std::vector<std::string> crashes) {
    CrashCause cause;
    for (const CrashEvidence* other : m_by_crash[crashes.front()]) {
      if (Unattributed(*other) == crashes) cause.keys.push_back(other->key);
    }
    std::sort(cause.keys.begin(), cause.keys.end());
    m_attributed.insert(crashes.begin(), crashes.end());
    cause.crashes = std::move(crashes);
    return cause;
  }

  std::vector<CrashEvidence> m_evidence;
  std::unordered_map<std::string_view, std::vector<const CrashEvidence*>>
      m_by_crash;
  std::unordered_set<std::string> m_attributed;
  std::priority_queue<HeapEntry> m_heap;
};

}  // namespace

std::vector<CrashCause> AttributeCrashes(std::vector<CrashEvidence> evidence) {
  return Attribution(std::move(evidence)).Run();
}

}  // namespace clementine
