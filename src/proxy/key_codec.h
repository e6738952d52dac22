//===- key_codec.h - Messages of key records as bytes -----------*- C++ -*-===//

#ifndef MARJORAMRAIL_SRC_PROXY_KEY_CODEC_H
#define MARJORAMRAIL_SRC_PROXY_KEY_CODEC_H

#include "marjoramrail/work.h"

#include <string_view>

namespace marjoramrail::internal {

std::string encodeKeyMessages(const key_messages &Messages);

/// Fails with step::DecodeMessage; nothing of a bad batch is taken.
result<key_messages> decodeKeyMessages(std::string_view Bytes);

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_PROXY_KEY_CODEC_H
