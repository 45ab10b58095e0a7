#pragma once

/// Follows all keys under a prefix of the platform's store: reads them once, then watches; reads again when the watch breaks.

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
        std::function<void(const Ports::KeyValue&)> changed;
        std::function<void(const std::string& key)> removed;
        std::function<void(bool isAgain)> synced; ///< After each whole read; `isAgain` for all but the first.
        std::function<void()> broken; ///< The watch broke, or a read failed.
    };

    PrefixFeed(Common::TaskLoop&, Ports::PlatformPort&, std::string prefix, Hooks);
    ~PrefixFeed();
    PrefixFeed(const PrefixFeed&) = delete;
    PrefixFeed& operator=(const PrefixFeed&) = delete;

    void start();
    /// Reads at once if a read is being waited for.
    bool isSynced() const;

private:
    struct State;
    std::shared_ptr<State> m_state; ///< Shared with calls under way, which outlive the feed.
};

} // namespace Jobs
