#include "bench/routing/bench.h"

using namespace marjoramrail::bench;

int main() {
  measureViewBytes();
  measureRouteCost();
  measureMaglev();
  measureRemap();
  measureImbalance();
}
