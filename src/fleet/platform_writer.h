//===- platform_writer.h - Conditional writes that are certain --*- C++ -*-===//
///
/// \file
/// A write's answer can be lost although the write took effect. Acting on the
/// guess that it failed would write twice or give up a duty that is held; the
/// guess that it succeeded would act on state that is not there. So the writer
/// reads the object back until it knows: its own name and sequence stand in
/// the object, or the version that it expected still does, or another's.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FLEET_PLATFORM_WRITER_H
#define MARJORAMRAIL_FLEET_PLATFORM_WRITER_H

#include "marjoramrail/fleet.h"

namespace marjoramrail::internal {

enum class write_outcome {
  /// It stands, or stood: the object is ours.
  Written,
  /// Another version stands; Object holds it. Nothing of ours was written.
  Fenced,
  /// Nothing was written as far as can be told; ask again later. A late copy
  /// of the write may still arrive: it is conditional, so a later write of
  /// ours meets it as Fenced with our own name in the object.
  Unavailable,
  /// The platform refused the content.
  Refused,
};

struct write_result {
  write_outcome Outcome = write_outcome::Unavailable;
  platform_object Object;
  std::string Reason;
};

class platform_writer {
public:
  using callback = std::function<void(const write_result &)>;

  /// \p Name must be of this process only: a restart takes another.
  platform_writer(timer_service &Timers, platform_api Platform,
                  std::string Name, fleet_counters &Counters);
  ~platform_writer();
  platform_writer(const platform_writer &) = delete;
  platform_writer &operator=(const platform_writer &) = delete;

  /// Writes if version \p Expected stands. \p Callback runs exactly once,
  /// unless the writer is destroyed before.
  void write(const object_key &Key, std::string Body, std::uint64_t Expected,
             callback Callback);

  /// A counted read.
  void read(const object_key &Key, platform_callback Callback);

  /// True if this process wrote \p Object.
  bool wrote(const platform_object &Object) const;

private:
  struct attempt {
    platform_write Write;
    callback Callback;
    int ReadsLeft;
  };

  void answered(const std::shared_ptr<attempt> &Attempt,
                const platform_reply &Reply);
  void readBack(const std::shared_ptr<attempt> &Attempt);
  void resolve(const std::shared_ptr<attempt> &Attempt,
               const platform_reply &Reply);
  void retryReadBack(const std::shared_ptr<attempt> &Attempt);

  timer_service &Timers;
  platform_api Platform;
  std::string Name;
  fleet_counters &Counters;
  std::uint64_t Sequence = 0;
  /// Callbacks of the platform may come after this object is gone.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FLEET_PLATFORM_WRITER_H
