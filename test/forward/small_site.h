//===- small_site.h - Five targets behind two balancers ---------*- C++ -*-===//

#ifndef MARJORAMRAIL_TEST_FORWARD_SMALL_SITE_H
#define MARJORAMRAIL_TEST_FORWARD_SMALL_SITE_H

#include "forward/forward_world.h"

namespace marjoramrail::testing {

struct small_site : forward_world {
  small_site() {
    for (unsigned Number = 1; Number <= 5; ++Number)
      addHost(Number);
    for (const unsigned Number : {1U, 2U})
      addBalancer(Number);
    pass(std::chrono::seconds(1));
    updateBalancers();
  }
};

} // namespace marjoramrail::testing

#endif // MARJORAMRAIL_TEST_FORWARD_SMALL_SITE_H
