#include "bench/routing/bench.h"

using namespace marjoramrail::bench;

int main() {
  measureRouteCost();
  measureMaglev();
  measureRemap();
}
