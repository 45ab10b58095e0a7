#pragma once

/// Typed helpers for libuv's handles.

#include <chrono>
#include <cstdint>

#include <uv.h>

namespace Adapters {

/// View of any handle as its base type.
template<typename Handle>
uv_handle_t* asHandle(Handle& handle) { return reinterpret_cast<uv_handle_t*>(&handle); }

/// View of a socket as a stream.
inline uv_stream_t* asStream(uv_tcp_t& handle) { return reinterpret_cast<uv_stream_t*>(&handle); }

/// Closes a handle, unless it is closing already.
template<typename Handle>
void closeHandle(Handle& handle)
{
    if (!uv_is_closing(asHandle(handle)))
        uv_close(asHandle(handle), nullptr);
}

/// Starts a timer that fires after `first`, and then every `repeat` if that is above zero.
inline void startTimer(uv_timer_t& timer, uv_timer_cb callback, std::chrono::milliseconds first, std::chrono::milliseconds repeat = {})
{
    uv_timer_start(&timer, callback, static_cast<std::uint64_t>(first.count()), static_cast<std::uint64_t>(repeat.count()));
}

} // namespace Adapters
