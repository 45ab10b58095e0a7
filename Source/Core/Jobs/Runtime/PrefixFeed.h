#pragma once

/// Follows all keys under a prefix of the platform's store: reads them once, then watches for changes. When the watch breaks
/// it reads again and reports only the differences.

#include "Common/TaskLoop.h"
#include "Ports/PlatformPort.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Jobs {

/// Used on the loop's thread only.
class PrefixFeed {
public:
    struct Hooks {
        std::function<void(const Ports::KeyValue&)> changed; ///< Required. Never called twice for one revision of a key.
        std::function<void(const std::string& key)> removed; ///< Required.
        std::function<void(bool isResync)> synced; ///< After each complete read; `isResync` for all but the first.
        std::function<void()> broken; ///< The watch broke or a read failed; the next read follows after a delay.
    };

    PrefixFeed(Common::TaskLoop&, Ports::PlatformPort&, std::string prefix, Hooks);
    ~PrefixFeed();
    PrefixFeed(const PrefixFeed&) = delete;
    PrefixFeed& operator=(const PrefixFeed&) = delete;

    void start();
    /// False before the first read and from a broken watch until the next successful read.
    bool isSynced() const;

private:
    struct State;
    std::shared_ptr<State> m_state; ///< Shared with calls in flight, which may outlive the feed.
};

} // namespace Jobs
