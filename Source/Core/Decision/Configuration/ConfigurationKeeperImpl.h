#pragma once

/// Private implementation of ConfigurationKeeper.

#include "Decision/Configuration/ConfigurationKeeper.h"
#include "Decision/Configuration/InForceTable.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace Decision {

class ConfigurationKeeper::Impl {
public:
    Impl(KeeperSettings, const ConfigurationValidator&, KeeperGuards);

    void tick(Common::Instant now, const std::vector<Ports::HostId>& aliveMembers);
    void step(Common::Instant now);
    void onReplied(Common::Instant now, const PlatformReplied&);
    void onWatched(Common::Instant now, const PlatformWatched&);
    void onHeartbeat(Common::Instant now, const HeartbeatReceived&);
    void onRequested(const ConfigurationRequested&);
    void onOffered(Common::Instant now, const ConfigurationOffered&);
    bool isReady(Common::Instant now) const;
    std::uint64_t highestKnown() const { return std::max(table.highest(), inForce.revision); }
    std::vector<DataCentreInForce> report(Common::Instant now) const;
    std::optional<Common::Instant> nextDeadline() const;

    KeeperSettings settings;
    InForceTable table;
    AcceptedChange inForce;
    Ports::Bytes document;
    bool isWatcher = false;
    std::string alarm;
    std::vector<Action> actions;
    std::vector<ConfigurationAdopted> adopted;

private:
    enum class Call {
        None,
        ReadHead,
        ReadChunk,
    };

    void updateLag(Common::Instant now);
    bool isLagging() const { return !inForce.revision || inForce.revision < table.highest(); }
    bool shouldReadStore(Common::Instant now) const;
    void requestFromPeer(Common::Instant now);
    void read(Call, const std::string& key);
    void onHeadRead(Common::Instant now, const Ports::PlatformReply&);
    void onChunkRead(Common::Instant now, const Ports::PlatformReply&);
    void followHead(Common::Instant now, const std::string& text);
    bool shouldFetch(const HeadRecord&);
    void fetchNext(Common::Instant now);
    void onFetched(Common::Instant now);
    void startWatch(std::int64_t fromRevision);
    bool adopt(Common::Instant now, std::uint64_t revision, const std::string& changeId, Ports::Bytes);

    const ConfigurationValidator& m_validator;
    KeeperGuards m_guards;
    Call m_call = Call::None;
    PlatformToken m_token = 0;
    PlatformToken m_nextToken = 1;
    std::optional<PlatformToken> m_watch;
    HeadRecord m_fetching;
    std::vector<std::string> m_fetchedChunks;
    Common::Instant m_nextHeadRead {};
    Common::Instant m_nextPeerRequest {};
    std::size_t m_peerIndex = 0;
    std::optional<Common::Instant> m_lagSince;
    bool m_wasCurrent = false;
};

} // namespace Decision
