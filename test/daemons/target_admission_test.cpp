#include "target_admission.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::daemons;
using namespace std::chrono_literals;

namespace {

struct admission_fixture {
  instant Start{10s};
  target_reports Reports{"ledger"};
  target_admission Admission;

  admission_fixture() { report(/*Draining=*/false); }

  void report(bool Draining) {
    target_report Report;
    Report.Id = "run-1";
    Report.Service = "ledger";
    Report.Draining = Draining;
    Report.Sequence = ++Sequence;
    Reports.take(Report, Start);
  }

  bool admitsAfter(duration Time) const {
    return Admission.admits(Reports, Start + Time);
  }

  std::uint64_t Sequence = 0;
};

} // namespace

TEST_CASE_FIXTURE(admission_fixture, "a new target waits until all know it") {
  // Flows on a target that some balancers have not heard of would be reset by
  // them.
  CHECK_FALSE(admitsAfter(10s));
  Admission.onStored(/*Existed=*/false, Start);
  CHECK_FALSE(admitsAfter(SettleTime - 1ms));
  CHECK(admitsAfter(SettleTime));
}

TEST_CASE_FIXTURE(admission_fixture, "a known target needs no wait") {
  Admission.onStored(/*Existed=*/true, Start);
  CHECK(admitsAfter(0s));
}

TEST_CASE_FIXTURE(admission_fixture,
                  "a balancer's word stands for the store's") {
  Admission.onRegistered(Start);
  CHECK(admitsAfter(0s));
}

TEST_CASE_FIXTURE(admission_fixture,
                  "an entry that was taken out waits again") {
  // The VM was cut off for so long that it counted as dead.
  Admission.onStored(/*Existed=*/true, Start);
  Admission.onUnregistered();
  CHECK_FALSE(admitsAfter(10s));
  Admission.onStored(/*Existed=*/false, Start + 10s);
  CHECK_FALSE(admitsAfter(10s));
  CHECK(admitsAfter(10s + SettleTime));
}

TEST_CASE_FIXTURE(admission_fixture, "a draining target admits nothing") {
  Admission.onStored(/*Existed=*/true, Start);
  report(/*Draining=*/true);
  CHECK_FALSE(admitsAfter(10s));
}
