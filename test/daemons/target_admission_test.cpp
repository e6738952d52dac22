#include "target_admission.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::daemons;
using namespace std::chrono_literals;

namespace {

struct admission_fixture {
  instant Start{10s};
  target_reports Reports{"ledger", 1200ms, Start};
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

TEST_CASE_FIXTURE(admission_fixture,
                  "a new target gets no flows until SettleTime is over") {
  // Balancers that do not know the target yet would reset its flows.
  CHECK_FALSE(admitsAfter(10s));
  Admission.onStored(/*Existed=*/false, Start);
  CHECK_FALSE(admitsAfter(SettleTime - 1ms));
  CHECK(admitsAfter(SettleTime));
}

TEST_CASE_FIXTURE(admission_fixture,
                  "a target found in the store gets flows at once") {
  Admission.onStored(/*Existed=*/true, Start);
  CHECK(admitsAfter(0s));
}

TEST_CASE_FIXTURE(
    admission_fixture,
    "a balancer's report of the registration replaces the store's") {
  Admission.onRegistered(Start);
  CHECK(admitsAfter(0s));
}

TEST_CASE_FIXTURE(admission_fixture,
                  "a target whose entry was removed waits again") {
  // The VM was unreachable for so long that it was marked dead.
  Admission.onStored(/*Existed=*/true, Start);
  Admission.onUnregistered();
  CHECK_FALSE(admitsAfter(10s));
  Admission.onStored(/*Existed=*/false, Start + 10s);
  CHECK_FALSE(admitsAfter(10s));
  CHECK(admitsAfter(10s + SettleTime));
}

TEST_CASE_FIXTURE(admission_fixture, "a draining target gets no new flows") {
  Admission.onStored(/*Existed=*/true, Start);
  report(/*Draining=*/true);
  CHECK_FALSE(admitsAfter(10s));
}
