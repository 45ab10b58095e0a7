#include "Process/Fleet.h"

#include "Common/Rendezvous.h"

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <initializer_list>
#include <sstream>
#include <stdexcept>
#include <string_view>
#include <thread>
#include <utility>

namespace ProcessTests {

namespace {

    std::string concat(std::initializer_list<std::string_view> parts)
    {
        std::string text;
        for (const auto& it : parts)
            text.append(it);
        return text;
    }

    constexpr std::chrono::milliseconds pollInterval { 20 };
    constexpr unsigned firstExecutorPort = 10; ///< Offset from the fleet's first port.
    constexpr unsigned firstHostPort = 50; ///< Offset from the fleet's first port.
    constexpr unsigned portsPerHost = 5;
    constexpr const char* dataCentreNames[] = { "imlil", "asni" };
    constexpr const char* poolNames[] = { "desk", "juniors" };

    std::string loopback(unsigned port) { return "127.0.0.1:" + std::to_string(port); }

    std::string join(const std::vector<std::string>& parts)
    {
        std::string text;
        for (const auto& it : parts)
            text += (text.empty() ? "" : ", ") + it;
        return text;
    }

} // namespace

bool eventually(const std::function<bool()>& condition, std::chrono::seconds bound)
{
    const auto end = std::chrono::steady_clock::now() + bound;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

std::string FleetHost::url(const std::string& path) const
{
    return "http://" + loopback(port) + path;
}

std::string FleetHost::operatorAddress() const
{
    return loopback(port + 2);
}

std::string FleetHost::operatorUrl(const std::string& path) const
{
    return "http://" + operatorAddress() + path;
}

Fleet::Fleet(FleetShape shape)
    : m_shape(shape)
{
    std::string name = (std::filesystem::temp_directory_path() / "marigold-process-XXXXXX").string();
    if (!mkdtemp(name.data()))
        throw std::runtime_error("can't create a temporary directory");
    m_directory = name;
    m_platform = Process::create(MARIGOLD_STANDIN_PROGRAM,
        { "--role=platform", "--port=" + std::to_string(shape.basePort), "--admin_port=" + std::to_string(shape.basePort + 1) }, file("platform.log"));
    for (unsigned i = 0; i < shape.dataCentres * shape.upstreamsPerPool * 2; ++i) {
        const std::string dataCentreName = dataCentreNames[i % shape.dataCentres];
        const std::string pool = poolNames[(i / shape.dataCentres) % 2];
        const std::string n = std::to_string(i / shape.dataCentres / 2 + 1);
        m_upstreams.push_back({ concat({ pool, "-", dataCentreName, "-", n }), loopback(shape.basePort + firstExecutorPort + i), pool, concat({ dataCentreName, "-rack-", n }), {} });
        startExecutor(m_upstreams.back());
    }
    for (unsigned i = 0; i < shape.hosts; ++i) {
        const std::string dataCentreName = dataCentreNames[i % shape.dataCentres];
        m_hosts.push_back({ dataCentreName + "-" + std::to_string(i + 1), dataCentreName, shape.basePort + firstHostPort + i * portsPerHost, {} });
    }
    for (auto& it : m_hosts) {
        writeSettings(it);
        startHost(it);
    }
    publishHostList("");
    REQUIRE(eventually([this] { return ctl({ "status" }) == 0; }));
    const std::string objects = writeObjects(1);
    REQUIRE_MESSAGE(eventually([&] { return ctl({ "publish", objects, "--reason", "test" }) == 0; }), ctlOutput());
    REQUIRE(eventually([this] { return allReady(); }));
}

Fleet::~Fleet()
{
    m_hosts.clear();
    m_upstreams.clear();
    m_platform.kill();
    std::error_code ec;
    if (!std::getenv("MARIGOLD_KEEP_LOGS"))
        std::filesystem::remove_all(m_directory, ec);
}

void Fleet::startExecutor(FleetUpstream& upstream) const
{
    upstream.process = Process::create(MARIGOLD_STANDIN_PROGRAM,
        { "--role=executor", "--addresses=" + upstream.address, "--run_ms=50", "--jitter=0" }, file(upstream.name + ".log"));
}

void Fleet::startHost(FleetHost& host)
{
    host.process = Process::create(MARIGOLD_HOST_PROGRAM, { "--settings", file(host.name + ".json") }, file(host.name + ".out"));
}

void Fleet::writeSettings(const FleetHost& host) const
{
    std::vector<std::string> seeds;
    for (const auto& it : m_hosts) {
        if (it.name != host.name)
            seeds.push_back(R"({ "host": ")" + it.name + R"(", "address": ")" + loopback(it.port + 1) + R"(", "dataCentre": ")" + it.dataCentre + "\" }");
    }
    const std::string platform = loopback(m_shape.basePort);
    std::ofstream(file(host.name + ".json"))
        << R"({ "host": ")" << host.name << R"(", "dataCentre": ")" << host.dataCentre << R"(", "region": "atlas",)"
        << R"("callers": { "listen": ")" << loopback(host.port) << "\" },"
        << R"("peers": { "listen": ")" << loopback(host.port + 1) << R"(", "seeds": [)" << join(seeds) << "] },"
        << R"("operators": { "listen": ")" << host.operatorAddress() << "\" },"
        << R"("platform": { "keyValueAddress": ")" << platform << R"(", "hostListAddress": ")" << platform << "\" },"
        << R"("limits": { "clockSkewAllowanceMilliseconds": 1000, "viewLeaseMilliseconds": 3000, "suspectAfterMilliseconds": 1000, "heartbeatMilliseconds": 250 },)"
        << R"("logging": { "level": "debug", "file": ")" << file(host.name + ".log") << "\" } }";
}

std::string Fleet::writeObjects(unsigned weight) const
{
    std::vector<std::string> domains { R"({ "name": "atlas", "level": "region" })" };
    for (unsigned i = 0; i < m_shape.dataCentres; ++i) {
        const std::string dataCentreName = dataCentreNames[i];
        domains.push_back(concat({ R"({ "name": ")", dataCentreName, R"(", "level": "dataCentre", "parent": "atlas" })" }));
        for (unsigned rack = 1; rack <= m_shape.upstreamsPerPool; ++rack)
            domains.push_back(concat({ R"({ "name": ")", dataCentreName, "-rack-", std::to_string(rack), R"(", "level": "rack", "parent": ")", dataCentreName, "\" }" }));
    }
    std::vector<std::string> upstreams;
    upstreams.reserve(m_upstreams.size());
    for (const auto& it : m_upstreams)
        upstreams.push_back(concat({ R"({ "name": ")", it.name, R"(", "address": ")", it.address, R"(", "pool": ")", it.pool, R"(", "rack": ")", it.rack, "\" }" }));
    std::string path = file("objects-" + std::to_string(weight) + ".jsonc");
    std::ofstream(path)
        << R"({ "domains": [)" << join(domains) << "],"
        << R"("pools": [{ "name": "desk", "minimumHosts": 1, "pinnedHosts": 2 }, { "name": "juniors", "minimumHosts": 1, "pinnedHosts": 2 }],)"
        << R"("services": [{ "name": "lesson-booking", "pool": "desk", "expectedRunTime": "50ms" },)"
        << R"({ "name": "roster-reading", "pool": "juniors", "expectedRunTime": "50ms" }],)"
        << R"("priorities": [{ "name": "normal", "rank": 1 }],)"
        << R"("teams": [{ "name": "families", "priorities": ["normal"], "slotQuota": )" << 8 * m_shape.upstreamsPerPool
        << R"(, "weight": )" << weight << " }],"
        << R"("upstreams": [)" << join(upstreams) << "]" << (m_shape.withWave ? maintenanceObjects() : "") << " }";
    return path;
}

/// The window began an hour ago and lasts a day, so that it is open during the test.
std::string Fleet::maintenanceObjects() const
{
    const std::time_t begin = std::chrono::system_clock::to_time_t(std::chrono::system_clock::now() - std::chrono::hours(1));
    std::tm utc {};
    gmtime_r(&begin, &utc);
    char windowStart[sizeof("2026-01-01T00:00:00Z")];
    std::strftime(windowStart, sizeof(windowStart), "%Y-%m-%dT%H:%M:%SZ", &utc);
    std::vector<std::string> budgets;
    for (unsigned i = 0; i < m_shape.dataCentres; ++i) {
        for (const std::string service : { "lesson-booking", "roster-reading" })
            budgets.push_back(concat({ R"({ "name": ")", service, "-", dataCentreNames[i], R"(", "service": ")", service, R"(", "dataCentre": ")", dataCentreNames[i], R"(", "minimumAvailablePercent": 30 })" }));
    }
    return concat({ R"(, "budgets": [)", join(budgets), R"(], "waves": [{ "name": "reboots", "pools": ["desk", "juniors"], "windowStart": ")", windowStart,
        R"(", "windowLength": "24h", "drainLimit": "10s", "rebootTime": "1s", "paused": true }])" });
}

std::vector<const FleetHost*> Fleet::allHosts() const
{
    std::vector<const FleetHost*> hosts;
    for (const auto& it : m_hosts)
        hosts.push_back(&it);
    return hosts;
}

FleetHost& Fleet::ownerOf(const std::string& pool)
{
    std::vector<std::string> names;
    for (const auto& it : m_hosts) {
        if (it.dataCentre == m_hosts.front().dataCentre)
            names.push_back(it.name);
    }
    const std::string owner = Common::rendezvousTop(pool, names, 1).front();
    return *std::find_if(m_hosts.begin(), m_hosts.end(), [&](const auto& it) { return it.name == owner; });
}

FleetUpstream& Fleet::upstream(const std::string& name)
{
    return const_cast<FleetUpstream&>(std::as_const(*this).upstream(name));
}

const FleetUpstream& Fleet::upstream(const std::string& name) const
{
    for (const auto& it : m_upstreams) {
        if (it.name == name)
            return it;
    }
    throw std::out_of_range(name);
}

bool Fleet::ready(const FleetHost& host) const
{
    return get(host.url("/ready")).status == 200;
}

bool Fleet::allReady() const
{
    return std::all_of(m_hosts.begin(), m_hosts.end(), [this](const auto& it) { return ready(it); });
}

std::uint64_t Fleet::revision(const FleetHost& host) const
{
    return get(host.operatorUrl("/v1/status")).json()["revision"].asUInt64();
}

std::string Fleet::admin(const std::string& path) const
{
    return "http://" + loopback(m_shape.basePort + 1) + path;
}

void Fleet::setStoreFault(const std::string& mode) const
{
    REQUIRE(post(admin("/fault"), R"({"mode":")" + mode + "\"}").status == 200);
}

void Fleet::setRunFault(const std::string& mode) const
{
    for (const auto& it : m_upstreams)
        REQUIRE(post("http://" + it.address + "/fault", R"({"mode":")" + mode + "\"}").status == 200);
}

void Fleet::publishHostList(const std::string& leaving) const
{
    std::vector<std::string> hosts;
    for (const auto& it : m_upstreams)
        hosts.push_back(R"({"name":")" + it.name + R"(","address":")" + it.address + R"(","state":")" + (it.name == leaving ? "leaving" : "live") + "\"}");
    REQUIRE(eventually([&] { return post(admin("/hosts"), "{\"hosts\":[" + join(hosts) + "]}").status == 200; }));
}

std::map<std::string, std::uint64_t> Fleet::listedIncarnations() const
{
    std::map<std::string, std::uint64_t> incarnations;
    const Json::Value list = get(admin("/hosts")).json();
    for (const auto& it : list["hosts"])
        incarnations[it["name"].asString()] = it["incarnation"].asUInt64();
    return incarnations;
}

std::size_t Fleet::logCount(const FleetHost& host, const std::string& message) const
{
    std::size_t n = 0;
    std::ifstream log(file(host.name + ".log"));
    for (std::string line; std::getline(log, line);)
        n += line.find("\"message\": \"" + message + "\"") != std::string::npos;
    return n;
}

std::string Fleet::poolAndStateOf(const FleetHost& host, const std::string& upstream) const
{
    for (const auto& it : get(host.operatorUrl("/v1/pools")).json()) {
        if (it["upstream"] == upstream)
            return it["pool"].asString() + " " + it["state"].asString();
    }
    return "";
}

Process Fleet::startCtl(std::vector<std::string> arguments) const
{
    std::string servers;
    for (const auto& it : m_hosts)
        servers += (servers.empty() ? "" : ",") + it.operatorAddress();
    arguments.insert(arguments.end(), { "--server", servers });
    return Process::create(MARIGOLD_CTL_PROGRAM, arguments, file("ctl.log"));
}

int Fleet::ctl(std::vector<std::string> arguments) const
{
    return startCtl(std::move(arguments)).exitCode().value_or(-1);
}

std::string Fleet::ctlOutput() const
{
    std::ostringstream text;
    text << std::ifstream(file("ctl.log")).rdbuf();
    return text.str();
}

std::map<std::string, std::uint64_t> Fleet::runsOf(const FleetUpstream& upstream) const
{
    std::map<std::string, std::uint64_t> counts;
    const Json::Value value = get("http://" + upstream.address + "/runs").json();
    const Json::Value& byHash = value["byBodyHash"];
    for (const auto& hash : byHash.getMemberNames())
        counts[hash] = byHash[hash].asUInt64();
    return counts;
}

std::map<std::string, std::uint64_t> Fleet::runs() const
{
    std::map<std::string, std::uint64_t> sum;
    for (const auto& it : m_upstreams) {
        for (const auto& [hash, count] : runsOf(it))
            sum[hash] += count;
    }
    return sum;
}

std::uint64_t Fleet::startCountOf(const FleetUpstream& upstream) const
{
    return get("http://" + upstream.address + "/stats").json()["ran"].asUInt64();
}

std::multiset<std::string> Fleet::runningOn(const FleetUpstream& upstream) const
{
    std::multiset<std::string> hashes;
    const Json::Value stats = get("http://" + upstream.address + "/stats").json();
    for (const auto& it : stats["runningBodyHashes"])
        hashes.insert(it.asString());
    return hashes;
}

std::size_t Fleet::runningTotal() const
{
    std::size_t sum = 0;
    for (const auto& it : m_upstreams)
        sum += runningOn(it).size();
    return sum;
}

} // namespace ProcessTests
