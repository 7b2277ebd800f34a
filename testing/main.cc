#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>
#include <unistd.h>

#include <cstdlib>

#include "net/net.h"

int main(int argc, char** argv) {
  // rapidcheck draws a new seed for each run unless one is given; the verdict
  // must be the same every time.
  setenv("RC_PARAMS", "seed=1", /*overwrite=*/0);
  // Standard output is for the verdict.
  clementine::LogTo(STDERR_FILENO);
  return doctest::Context(argc, argv).run();
}
