#pragma once

/// Entry hosts, their network, a view authority, upstreams and callers in virtual time, driven by a seed.

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

/// Which failures a run draws from its seed.
struct FaultPlan {
    bool death = false; ///< Hosts die and start again as a new incarnation.
    bool cut = false; ///< Pairs of hosts lose each other for a time.
    bool freeze = false; ///< Hosts stop and go on later, past a change of the view.
    bool storeCut = false; ///< Hosts lose the store for a time.
    bool island = false; ///< Two hosts together lose all others and the store.
    bool drain = false; ///< Hosts leave and come back.
    bool lostAnswers = false; ///< Upstreams lose or cut short what they were sent, or refuse it.
    bool lateAnswers = false; ///< Upstreams answer late and out of order.
    bool harmful = false; ///< One body breaks each upstream that runs it.
    bool cancelWaves = false;
    bool overload = false;
    unsigned dataCentres = 1;
};

/// Everything that a run is built from.
struct FleetOptions {
    std::uint64_t seed = 1;
    FaultPlan faults;
    Decision::RequestGuards guards;
    unsigned hosts = 4; ///< In each data centre.
    unsigned upstreams = 3; ///< In each pool and data centre.
    milliseconds maximumDelay { 3 }; ///< Of a message between hosts.
};

/// One run. The loop ends by itself; afterwards the record tells what was broken.
class VirtualFleet {
public:
    explicit VirtualFleet(const FleetOptions&);
    ~VirtualFleet();

    /// Drives load and failures, heals everything, waits for quiet and checks the promises.
    FleetRecord run();

private:
    using Task = std::function<void()>;

    struct Host {
        HostId name;
        std::string dataCentre;
        std::uint64_t incarnation = 0;
        std::unique_ptr<Decision::RequestCore> core; ///< Null while dead.
        bool frozen = false;
        bool leaving = false;
        bool storeCut = false;
        std::deque<Task> waiting; ///< Events that came while frozen.
        std::map<HostId, Instant> heard;
        Instant leaseUntil {}; ///< As the host counts it.
        Instant leaseEnds {}; ///< As the store counts it.
        Decision::LedgerView view;
        milliseconds clockOffset { 0 };
        Instant tickAt {}; ///< Of the earliest tick under way.
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

    // Loop (VirtualFleet.cpp).
    void at(Instant, Task);
    void after(milliseconds wait, Task task) { at(m_now + wait, std::move(task)); }
    void onHost(const HostId&, std::uint64_t incarnation, const std::function<void(Host&)>&);
    Decision::Moment momentOf(const Host&) const;
    void pump(Host&);
    void carryOut(Host&, Decision::RequestAction&);
    void scheduleTick(Host&);
    int draw(int below) { return static_cast<int>(m_random() % static_cast<unsigned>(below)); }
    bool chance(int percent) { return draw(100) < percent; }
    std::vector<HostId> hostsOf(const std::string& dataCentre) const;

    // Network and membership (VirtualNetwork.cpp).
    void send(Host& from, const HostId& to, const Messages::PeerMessage&);
    void connectionBroken(const HostId& at, const HostId& lost);
    bool isCut(const HostId&, const HostId&) const;
    void setCut(const HostId&, const HostId&, bool);
    void beat(Host&);
    void refreshAlive(Host&);
    void refreshStore(Host&);
    void judgeViews();
    bool mayRemove(const HostId& member, const View&) const;
    void start(Host&);
    void die(Host&);
    void freeze(Host&, bool);

    // Upstreams, callers, failures (VirtualWorld.cpp).
    void dispatch(Host&, const Ports::UpstreamCall&);
    void arrive(std::uint64_t serial);
    void finish(std::uint64_t serial, Ports::AttemptEnd);
    void endAttempt(std::uint64_t serial, Ports::AttemptEnd);
    void cancel(Host&, Ports::AttemptId);
    void ask(std::size_t logical);
    void answered(const Decision::AnswerCaller&);
    void askAgain(std::size_t logical, milliseconds wait);
    void planLoad();
    void planFaults();
    void planHostFault(Instant);
    void planCancelWave(Instant);
    void heal();
    void checkQuiet();
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
    std::map<Ports::CallerHandle, std::pair<std::size_t, std::size_t>> m_handles; ///< To request and try.
    std::shared_ptr<const Objects::ObjectSet> m_objects;
    std::uint64_t m_serial = 1;
    std::uint64_t m_nextIncarnation = 1;
    Instant m_lastFault {};
    FleetRecord m_record;
};

/// Objects with two pools, two teams and `dataCentres` data centres named d1, d2 and so on.
std::shared_ptr<const Objects::ObjectSet> fleetObjects(unsigned dataCentres);

/// A UUID of version 7 of that time and number.
std::string uuid7(Common::WallTime, std::uint64_t number);

} // namespace RequestTests
