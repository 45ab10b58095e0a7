#pragma once

/// Deterministic simulation of entry hosts, their network, the store's views, upstreams and callers in virtual time.

#include "Decision/Requests/RequestCore.h"
#include "Requests/FleetRecord.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace RequestTests {

using Common::Instant;
using Decision::HostId;
using std::chrono::milliseconds;

/// Kinds of faults to inject; when and where they occur depends on the seed.
struct FaultPlan {
    bool crashes = false; ///< Hosts crash and restart as a new incarnation.
    bool cut = false; ///< The connection between two hosts is cut temporarily.
    bool freeze = false; ///< Hosts freeze and resume, possibly after a view change.
    bool storeCut = false; ///< Hosts temporarily lose the connection to the store.
    bool isolatedPair = false; ///< Two hosts are partitioned from all other hosts and from the store.
    bool drain = false; ///< Hosts leave and return.
    bool lostAnswers = false; ///< Upstreams lose, truncate or refuse requests.
    bool lateAnswers = false; ///< Upstreams answer late and out of order.
    bool harmful = false; ///< Some request bodies crash each upstream that runs them.
    bool cancelWaves = false; ///< Most callers cancel or disconnect at the same time.
    bool overload = false; ///< Requests arrive five times as often.
    unsigned dataCentres = 1;
};

/// Parameters of a run.
struct FleetOptions {
    std::uint64_t seed = 1;
    FaultPlan faults;
    Decision::RequestGuards guards;
    unsigned hosts = 4; ///< Entry hosts per data centre.
    unsigned upstreams = 3; ///< Upstreams per pool and data centre.
    milliseconds maximumDelay { 3 }; ///< Maximum network delay between hosts.
};

/// One simulation run.
class VirtualFleet {
public:
    explicit VirtualFleet(const FleetOptions&);
    ~VirtualFleet();

    /// Generates load and faults, repairs all faults, lets the fleet become idle and checks the guarantees. May be called once.
    FleetRecord run();

private:
    using Task = std::function<void()>;

    struct Host {
        HostId name;
        std::string dataCentre;
        std::uint64_t incarnation = 0;
        std::unique_ptr<Decision::RequestCore> core; ///< Null after a crash.
        bool frozen = false;
        bool leaving = false;
        bool storeCut = false;
        std::deque<Task> waiting; ///< Events received while frozen.
        std::map<HostId, Instant> lastHeartbeats;
        Instant leaseUntil {}; ///< Expiry of the lease as known to the host.
        Instant leaseEnds {}; ///< Expiry of the lease in the store.
        Decision::LedgerView view;
        milliseconds clockOffset { 0 };
        Instant tickAt {}; ///< Time of the earliest scheduled tick.
    };

    struct View {
        std::uint64_t epoch = 0;
        std::map<HostId, std::uint64_t> members;
    };

    struct Upstream {
        unsigned running = 0;
    };

    struct Attempt {
        HostId host;
        std::uint64_t incarnation = 0;
        Ports::UpstreamCall call;
        bool ended = false;
    };

    // Event loop (VirtualFleet.cpp).
    void at(Instant, Task);
    void after(milliseconds wait, Task task) { at(m_now + wait, std::move(task)); }
    void onHost(const HostId&, std::uint64_t incarnation, const std::function<void(Host&)>&);
    Decision::Moment momentOf(const Host&) const;
    void pump(Host&);
    void execute(Host&, Decision::RequestAction&);
    void scheduleTick(Host&);
    int draw(int below) { return static_cast<int>(m_random() % static_cast<unsigned>(below)); }
    bool chance(int percent) { return draw(100) < percent; }
    std::vector<HostId> hostsOf(const std::string& dataCentre) const;

    // Network and membership (VirtualNetwork.cpp).
    void send(Host& from, const HostId& to, const Messages::PeerMessage&);
    void onConnectionLost(const HostId& at, const HostId& lost);
    bool isCut(const HostId&, const HostId&) const;
    void setCut(const HostId&, const HostId&, bool);
    void sendHeartbeat(Host&);
    void refreshAlive(Host&);
    void refreshStore(Host&);
    void updateViews();
    bool mayRemove(const HostId& member, const View&) const;
    void start(Host&);
    void crash(Host&);
    void freeze(Host&, bool);

    // Upstreams, callers, faults (VirtualWorld.cpp).
    void dispatch(Host&, const Ports::UpstreamCall&);
    void beginAttempt(std::uint64_t serial);
    void finishAttempt(std::uint64_t serial, Ports::AttemptEnd);
    void endAttempt(std::uint64_t serial, Ports::AttemptEnd);
    void cancel(Host&, Ports::AttemptId);
    void sendRequest(std::size_t logical);
    void onAnswer(const Decision::AnswerCaller&);
    void retryRequest(std::size_t logical, milliseconds wait);
    void planLoad();
    void planFaults();
    void planHostFault(Instant);
    void planCancelWave(Instant);
    void repairFaults();
    void checkIdle();
    std::string newKey();

    FleetOptions m_options;
    std::mt19937_64 m_random;
    Instant m_now {};
    std::multimap<Instant, Task> m_tasks;
    std::map<HostId, Host> m_hosts;
    std::map<std::string, View> m_views;
    std::set<std::pair<HostId, HostId>> m_cuts;
    std::map<std::pair<HostId, HostId>, Instant> m_lastDelivery;
    std::map<std::string, Upstream> m_upstreams;
    std::map<std::uint64_t, Attempt> m_attempts;
    std::map<Ports::CallerHandle, std::pair<std::size_t, std::size_t>> m_handles; ///< Index of the request and of the try by handle.
    std::shared_ptr<const Objects::ObjectSet> m_objects;
    std::uint64_t m_serial = 1;
    std::uint64_t m_nextIncarnation = 1;
    Instant m_lastFault {};
    FleetRecord m_record;
};

/// Configuration with two pools, two teams and `dataCentres` data centres named d1, d2 and so on.
std::shared_ptr<const Objects::ObjectSet> fleetObjects(unsigned dataCentres);

/// Version 7 UUID with the given time stamp; `number` makes it unique.
std::string uuid7(Common::WallTime, std::uint64_t number);

} // namespace RequestTests
