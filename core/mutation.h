// Deliberate faults. Each breaks one invariant, so that tests can show that
// their oracle notices it. Production code never sets one.
#ifndef CORE_MUTATION_H_
#define CORE_MUTATION_H_

namespace clementine {

enum class Mutation : int {
  kNone = 0,
  kIgnoreHealthAge,      ///< Gates stay open on old health (I1).
  kIgnoreEpoch,          ///< Gates don't compare group and epoch (I1).
  kIgnoreLeaving,        ///< Leaving signals are dropped (I6).
  kSkipUnloadConfirmed,  ///< Hosts are assigned before they unloaded (I2).
  kTakeLeaseEarly,       ///< A candidate doesn't wait for the old lease (I2).
  kUnconditionalWrite,   ///< The placement is rewritten after a conflict (I2).
  kRevertGeneration,     ///< A lower generation is adopted (I8).
};

}  // namespace clementine

#endif  // CORE_MUTATION_H_
