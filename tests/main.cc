// The test program; doctest finds the cases.

#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "base/base.h"

int main(int argc, char** argv) {
  // What the code under test logs would bury the results.
  jasminedyke::StartLogging("off");
  return doctest::Context(argc, argv).run();
}
