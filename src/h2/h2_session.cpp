#include "marjoramrail/h2.h"

#include <algorithm>
#include <map>
#include <nghttp2/nghttp2.h>

namespace marjoramrail {

std::string_view h2_head::get(std::string_view Name) const {
  const auto Found =
      std::find_if(Fields.begin(), Fields.end(),
                   [&](const h2_field &Field) { return Field.Name == Name; });
  return Found == Fields.end() ? std::string_view()
                               : std::string_view(Found->Value);
}

namespace {

/// State of a stream: the queued outgoing body bytes and the incoming header
/// that is being received.
struct stream_state {
  std::string Body;
  std::size_t Sent = 0;
  bool BodyEnds = false;
  bool Deferred = false;
  h2_head Head;

  std::size_t remaining() const { return Body.size() - Sent; }
};

std::vector<nghttp2_nv> toNv(const h2_head &Head) {
  std::vector<nghttp2_nv> Nv;
  Nv.reserve(Head.Fields.size());
  for (const h2_field &Field : Head.Fields) {
    // nghttp2 copies both before the call that receives the array returns.
    auto *Name =
        reinterpret_cast<std::uint8_t *>(const_cast<char *>(Field.Name.data()));
    auto *Value = reinterpret_cast<std::uint8_t *>(
        const_cast<char *>(Field.Value.data()));
    Nv.push_back({Name, Value, Field.Name.size(), Field.Value.size(),
                  NGHTTP2_NV_FLAG_NONE});
  }
  return Nv;
}

} // namespace

struct h2_session::impl {
  h2_role Role;
  h2_settings Settings;
  h2_hooks Hooks;
  nghttp2_session *Session = nullptr;
  std::map<h2_stream, stream_state> Streams;
  bool Flushing = false;
  bool Receiving = false;

  nghttp2_data_provider bodyOf(h2_stream Stream);
  void flush();

  static impl &of(void *User) { return *static_cast<impl *>(User); }
  static ssize_t onRead(nghttp2_session *, h2_stream Stream, std::uint8_t *Out,
                        std::size_t Size, std::uint32_t *Flags,
                        nghttp2_data_source *, void *User);
  static int onBeginHeaders(nghttp2_session *, const nghttp2_frame *Frame,
                            void *User);
  static int onHeader(nghttp2_session *, const nghttp2_frame *Frame,
                      const std::uint8_t *Name, std::size_t NameSize,
                      const std::uint8_t *Value, std::size_t ValueSize,
                      std::uint8_t, void *User);
  static int onFrame(nghttp2_session *, const nghttp2_frame *Frame, void *User);
  static int onChunk(nghttp2_session *, std::uint8_t, h2_stream Stream,
                     const std::uint8_t *Data, std::size_t Size, void *User);
  static int onClose(nghttp2_session *, h2_stream Stream, std::uint32_t Code,
                     void *User);
};

nghttp2_data_provider h2_session::impl::bodyOf(h2_stream Stream) {
  Streams[Stream];
  nghttp2_data_provider Provider{};
  Provider.read_callback = onRead;
  return Provider;
}

ssize_t h2_session::impl::onRead(nghttp2_session *, h2_stream Stream,
                                 std::uint8_t *Out, std::size_t Size,
                                 std::uint32_t *Flags, nghttp2_data_source *,
                                 void *User) {
  stream_state &State = of(User).Streams[Stream];
  const std::size_t Count = std::min(Size, State.remaining());
  std::copy_n(State.Body.data() + State.Sent, Count, Out);
  State.Sent += Count;
  if (State.remaining() == 0) {
    State.Body.clear();
    State.Sent = 0;
    if (State.BodyEnds) {
      *Flags |= NGHTTP2_DATA_FLAG_EOF;
    } else if (Count == 0) {
      State.Deferred = true;
      return NGHTTP2_ERR_DEFERRED;
    }
  }
  return static_cast<ssize_t>(Count);
}

int h2_session::impl::onBeginHeaders(nghttp2_session *,
                                     const nghttp2_frame *Frame, void *User) {
  of(User).Streams[Frame->hd.stream_id].Head.Fields.clear();
  return 0;
}

int h2_session::impl::onHeader(nghttp2_session *, const nghttp2_frame *Frame,
                               const std::uint8_t *Name, std::size_t NameSize,
                               const std::uint8_t *Value, std::size_t ValueSize,
                               std::uint8_t, void *User) {
  of(User).Streams[Frame->hd.stream_id].Head.add(
      std::string(reinterpret_cast<const char *>(Name), NameSize),
      std::string(reinterpret_cast<const char *>(Value), ValueSize));
  return 0;
}

int h2_session::impl::onFrame(nghttp2_session *, const nghttp2_frame *Frame,
                              void *User) {
  impl &Self = of(User);
  const h2_stream Stream = Frame->hd.stream_id;
  const bool End = (Frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
  switch (Frame->hd.type) {
  case NGHTTP2_HEADERS:
    if (Self.Hooks.OnHead)
      Self.Hooks.OnHead(Stream, Self.Streams[Stream].Head, End);
    break;
  case NGHTTP2_DATA:
    if (End && Self.Hooks.OnData)
      Self.Hooks.OnData(Stream, {}, true);
    break;
  case NGHTTP2_GOAWAY:
    if (Self.Hooks.OnGoAway)
      Self.Hooks.OnGoAway(Frame->goaway.last_stream_id,
                          static_cast<h2_error>(Frame->goaway.error_code));
    break;
  case NGHTTP2_PING:
    if ((Frame->hd.flags & NGHTTP2_FLAG_ACK) != 0 && Self.Hooks.OnPong)
      Self.Hooks.OnPong();
    break;
  default:
    break;
  }
  return 0;
}

int h2_session::impl::onChunk(nghttp2_session *, std::uint8_t, h2_stream Stream,
                              const std::uint8_t *Data, std::size_t Size,
                              void *User) {
  impl &Self = of(User);
  if (Self.Hooks.OnData)
    Self.Hooks.OnData(Stream, {reinterpret_cast<const char *>(Data), Size},
                      false);
  return 0;
}

int h2_session::impl::onClose(nghttp2_session *, h2_stream Stream,
                              std::uint32_t Code, void *User) {
  impl &Self = of(User);
  if (Self.Hooks.OnClose)
    Self.Hooks.OnClose(Stream, static_cast<h2_error>(Code));
  Self.Streams.erase(Stream);
  return 0;
}

void h2_session::impl::flush() {
  // The Output hook may write and flush again. The inner call returns at once,
  // because the outer one continues until nothing is left to send.
  // nghttp2 must not send from within a receive callback; input() flushes
  // afterwards.
  if (Flushing || Receiving)
    return;
  Flushing = true;
  while (true) {
    const std::uint8_t *Bytes = nullptr;
    const ssize_t Size = nghttp2_session_mem_send(Session, &Bytes);
    if (Size <= 0)
      break;
    Hooks.Output({reinterpret_cast<const char *>(Bytes),
                  static_cast<std::size_t>(Size)});
  }
  Flushing = false;
}

h2_session::h2_session(h2_role Role, const h2_settings &Settings,
                       h2_hooks Hooks)
    : Impl(std::make_unique<impl>()) {
  Impl->Role = Role;
  Impl->Settings = Settings;
  Impl->Hooks = std::move(Hooks);

  nghttp2_session_callbacks *Callbacks = nullptr;
  nghttp2_session_callbacks_new(&Callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(Callbacks,
                                                          impl::onBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(Callbacks, impl::onHeader);
  nghttp2_session_callbacks_set_on_frame_recv_callback(Callbacks,
                                                       impl::onFrame);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(Callbacks,
                                                            impl::onChunk);
  nghttp2_session_callbacks_set_on_stream_close_callback(Callbacks,
                                                         impl::onClose);
  nghttp2_option *Option = nullptr;
  nghttp2_option_new(&Option);
  if (!Settings.ConsumeAtOnce)
    nghttp2_option_set_no_auto_window_update(Option, 1);
  // Without this option nghttp2 retains closed streams for its priority tree,
  // and the memory use of a session that lasts for hours grows.
  nghttp2_option_set_no_closed_streams(Option, 1);
  if (Role == h2_role::Server)
    nghttp2_session_server_new2(&Impl->Session, Callbacks, Impl.get(), Option);
  else
    nghttp2_session_client_new2(&Impl->Session, Callbacks, Impl.get(), Option);
  nghttp2_option_del(Option);
  nghttp2_session_callbacks_del(Callbacks);

  std::vector<nghttp2_settings_entry> Entries = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, Settings.MaxStreams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
       static_cast<std::uint32_t>(Settings.StreamWindow)}};
  if (Role == h2_role::Client)
    Entries.push_back({NGHTTP2_SETTINGS_ENABLE_PUSH, 0});
  nghttp2_submit_settings(Impl->Session, NGHTTP2_FLAG_NONE, Entries.data(),
                          Entries.size());
  nghttp2_session_set_local_window_size(Impl->Session, NGHTTP2_FLAG_NONE, 0,
                                        Settings.ConnectionWindow);
}

h2_session::~h2_session() { nghttp2_session_del(Impl->Session); }

result<void> h2_session::input(std::string_view Bytes) {
  Impl->Receiving = true;
  const ssize_t Taken = nghttp2_session_mem_recv(
      Impl->Session, reinterpret_cast<const std::uint8_t *>(Bytes.data()),
      Bytes.size());
  Impl->Receiving = false;
  Impl->flush();
  if (Taken < 0)
    return fail(step::DecodeMessage, "",
                nghttp2_strerror(static_cast<int>(Taken)));
  return {};
}

h2_stream h2_session::request(const h2_head &Head, bool End) {
  if (nghttp2_session_check_request_allowed(Impl->Session) == 0)
    return NGHTTP2_ERR_START_STREAM_NOT_ALLOWED;
  const auto Nv = toNv(Head);
  nghttp2_data_provider Provider{};
  Provider.read_callback = impl::onRead;
  const h2_stream Stream =
      nghttp2_submit_request(Impl->Session, nullptr, Nv.data(), Nv.size(),
                             End ? nullptr : &Provider, nullptr);
  if (Stream > 0)
    Impl->Streams[Stream];
  return Stream;
}

void h2_session::respond(h2_stream Stream, const h2_head &Head, bool End) {
  const auto Nv = toNv(Head);
  nghttp2_data_provider Provider = Impl->bodyOf(Stream);
  nghttp2_submit_response(Impl->Session, Stream, Nv.data(), Nv.size(),
                          End ? nullptr : &Provider);
}

void h2_session::data(h2_stream Stream, std::string_view Bytes, bool End) {
  const auto Found = Impl->Streams.find(Stream);
  if (Found == Impl->Streams.end())
    return;
  stream_state &State = Found->second;
  State.Body.append(Bytes);
  State.BodyEnds |= End;
  if (State.Deferred) {
    State.Deferred = false;
    nghttp2_session_resume_data(Impl->Session, Stream);
  }
}

std::size_t h2_session::queued(h2_stream Stream) const {
  const auto Found = Impl->Streams.find(Stream);
  return Found == Impl->Streams.end() ? 0 : Found->second.remaining();
}

void h2_session::consumed(h2_stream Stream, std::size_t Bytes) {
  nghttp2_session_consume(Impl->Session, Stream, Bytes);
}

void h2_session::reset(h2_stream Stream, h2_error Code) {
  nghttp2_submit_rst_stream(Impl->Session, NGHTTP2_FLAG_NONE, Stream,
                            static_cast<std::uint32_t>(Code));
}

void h2_session::ping() {
  nghttp2_submit_ping(Impl->Session, NGHTTP2_FLAG_NONE, nullptr);
}

void h2_session::startShutdown() {
  nghttp2_submit_shutdown_notice(Impl->Session);
}

void h2_session::finishShutdown() {
  nghttp2_submit_goaway(Impl->Session, NGHTTP2_FLAG_NONE,
                        nghttp2_session_get_last_proc_stream_id(Impl->Session),
                        NGHTTP2_NO_ERROR, nullptr, 0);
}

void h2_session::flush() { Impl->flush(); }

std::size_t h2_session::openStreams() const { return Impl->Streams.size(); }

bool h2_session::alive() const {
  return nghttp2_session_want_read(Impl->Session) != 0 ||
         nghttp2_session_want_write(Impl->Session) != 0;
}

} // namespace marjoramrail
