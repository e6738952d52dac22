//===- small_site.h - Five targets, two balancers ---------------*- C++ -*-===//
///
/// \file
/// Test fixture: five targets of one service behind two balancers of one zone.
///
//===----------------------------------------------------------------------===//

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
