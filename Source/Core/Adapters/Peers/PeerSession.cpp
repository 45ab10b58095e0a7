#include "Adapters/Peers/PeerConnectionPrivate.h"

#include <algorithm>
#include <array>
#include <cstring>

namespace Adapters {

namespace {

    constexpr std::int32_t windowBytes = 16 << 20;
    constexpr std::string_view peerPath = "/peer";
    constexpr std::string_view hostHeader = "marigold-host";

    nghttp2_nv header(std::string_view name, std::string_view value)
    {
        const auto bytes = [](std::string_view it) { return reinterpret_cast<std::uint8_t*>(const_cast<char*>(it.data())); };
        return { bytes(name), bytes(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE };
    }

    /// Callbacks for nghttp2; `user` is the PeerConnection::Private.
    template<typename P>
    struct Callbacks {
        static int onHeader(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name, std::size_t nameSize,
            const std::uint8_t* value, std::size_t valueSize, std::uint8_t, void* user)
        {
            return static_cast<P*>(user)->handleHeader(frame->hd.stream_id, asText(name, nameSize), asText(value, valueSize));
        }

        static int onFrame(nghttp2_session*, const nghttp2_frame* frame, void* user) { return static_cast<P*>(user)->handleFrame(*frame); }

        static int onData(nghttp2_session*, std::uint8_t, std::int32_t stream, const std::uint8_t* data, std::size_t size, void* user)
        {
            return static_cast<P*>(user)->handleBody(stream, asText(data, size));
        }

        static int onStreamClose(nghttp2_session*, std::int32_t stream, std::uint32_t, void* user)
        {
            auto* it = static_cast<P*>(user);
            if (stream == it->stream)
                it->streamEnded = true;
            return 0;
        }

        static ssize_t onRead(nghttp2_session*, std::int32_t, std::uint8_t* buf, std::size_t length, std::uint32_t* flags, nghttp2_data_source*, void* user)
        {
            return static_cast<P*>(user)->fillBody(buf, length, *flags);
        }
    };

} // namespace

bool PeerConnection::Private::openSession()
{
    using C = Callbacks<Private>;
    nghttp2_session_callbacks* callbacks = nullptr;
    if (nghttp2_session_callbacks_new(&callbacks) != 0)
        return false;
    nghttp2_session_callbacks_set_on_header_callback(callbacks, &C::onHeader);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &C::onFrame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &C::onData);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &C::onStreamClose);
    const auto create = dialler ? &nghttp2_session_client_new : &nghttp2_session_server_new;
    const int ec = create(&session, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
    if (ec != 0)
        return false;

    const std::array<nghttp2_settings_entry, 2> entries { {
        { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(windowBytes) },
        { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 1 },
    } };
    if (nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, entries.data(), entries.size()) != 0)
        return false;
    if (nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE, 0, windowBytes) != 0)
        return false;
    return !dialler || submitRequest();
}

bool PeerConnection::Private::submitRequest()
{
    const std::array<nghttp2_nv, 5> headers {
        header(":method", "POST"),
        header(":scheme", "http"),
        header(":authority", peer),
        header(":path", peerPath),
        header(hostHeader, settings.self),
    };
    nghttp2_data_provider body {};
    body.read_callback = &Callbacks<Private>::onRead;
    stream = nghttp2_submit_request(session, nullptr, headers.data(), headers.size(), &body, nullptr);
    return stream > 0;
}

bool PeerConnection::Private::acceptRequest(std::int32_t requestStream)
{
    if (stream != -1 || method != "POST" || path != peerPath || !isValidHostId(hostValue) || hostValue == settings.self)
        return false;
    stream = requestStream;
    peer = hostValue;
    accepted = true;
    const auto okStatus = header(":status", "200");
    nghttp2_data_provider body {};
    body.read_callback = &Callbacks<Private>::onRead;
    return nghttp2_submit_response(session, stream, &okStatus, 1, &body) == 0;
}

/// The body of the listener's response stays open and empty: a listener never queues frames.
ssize_t PeerConnection::Private::fillBody(std::uint8_t* buf, std::size_t length, std::uint32_t& flags)
{
    std::size_t filled = 0;
    while (filled < length && !queue.empty()) {
        const auto& frame = queue.front();
        const auto prefix = framePrefix(frame.size());
        const bool inPrefix = queueOffset < framePrefixBytes;
        const char* from = inPrefix ? prefix.data() + queueOffset : frame.data() + (queueOffset - framePrefixBytes);
        const auto left = inPrefix ? framePrefixBytes - queueOffset : frame.size() + framePrefixBytes - queueOffset;
        const auto taken = std::min(left, length - filled);
        std::memcpy(buf + filled, from, taken);
        filled += taken;
        queueOffset += taken;
        if (queueOffset < frame.size() + framePrefixBytes)
            continue;
        owner.onFrameWritten(*self, frame.size());
        queue.pop_front();
        queueOffset = 0;
    }
    if (finishing && queue.empty())
        flags |= NGHTTP2_DATA_FLAG_EOF;
    else if (filled == 0)
        return NGHTTP2_ERR_DEFERRED;
    return static_cast<ssize_t>(filled);
}

int PeerConnection::Private::handleHeader(std::int32_t, std::string_view name, std::string_view value)
{
    if (name == ":method")
        method = value;
    else if (name == ":path")
        path = value;
    else if (name == ":status")
        status = value;
    else if (name == hostHeader)
        hostValue = value;
    return 0;
}

int PeerConnection::Private::handleFrame(const nghttp2_frame& frame)
{
    if (frame.hd.type == NGHTTP2_HEADERS) {
        if (dialler)
            accepted = accepted || (frame.hd.stream_id == stream && status == "200");
        else if (!acceptRequest(frame.hd.stream_id))
            failed = true;
        if (!accepted)
            failed = true;
    }
    if (frame.hd.type == NGHTTP2_GOAWAY)
        streamEnded = true;
    const bool carriesEnd = frame.hd.type == NGHTTP2_DATA || frame.hd.type == NGHTTP2_HEADERS;
    if (carriesEnd && frame.hd.stream_id == stream && (frame.hd.flags & NGHTTP2_FLAG_END_STREAM))
        streamEnded = true;
    return failed ? NGHTTP2_ERR_CALLBACK_FAILURE : 0;
}

int PeerConnection::Private::handleBody(std::int32_t bodyStream, std::string_view bytes)
{
    if (dialler || bodyStream != stream)
        return 0;
    if (reader.read(bytes, receivedFrames))
        return 0;
    failed = true;
    return NGHTTP2_ERR_CALLBACK_FAILURE;
}

} // namespace Adapters
