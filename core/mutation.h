// Fault injection for tests. Each mutation breaks one invariant; tests use it
// to prove that their checks detect the violation. Never set in production.
#ifndef CORE_MUTATION_H_
#define CORE_MUTATION_H_

namespace clementine {

enum class Mutation : int {
  kNone = 0,
  /// Groups stay open to requests although the health of a host is outdated.
  kIgnoreHealthAge,
  /// Groups are open to requests without a check of group name and epoch.
  kIgnoreEpoch,
  /// Signals that a host is leaving are dropped.
  kIgnoreLeaving,
  /// Hosts are assigned before they have confirmed an unload, so that a host
  /// can be in two groups.
  kSkipUnloadConfirmed,
  /// A candidate takes the lease before the lease of the holder has expired.
  kTakeLeaseEarly,
  /// The placement is overwritten after a conflict.
  kUnconditionalWrite,
  /// A configuration with a lower generation replaces a newer one.
  kRevertGeneration,
};

}  // namespace clementine

#endif  // CORE_MUTATION_H_
