#pragma once

/// Stand-in for the platform, as PROTOCOL.md describes it: the store and the list of machines, over HTTP on free loopback ports.

#include "Adapters/Platform/KeyValueStore.h"
#include "Record.h"
#include "Standins/HttpServer.h"

#include <chrono>
#include <functional>
#include <json/json.h>
#include <memory>
#include <string>

namespace Review {

using std::chrono::milliseconds;

/// Used on the loop's thread only.
class Platform {
public:
    /// `listMachines` returns the items of the machine list.
    Platform(Adapters::EventLoop&, Record&, std::function<Json::Value()> listMachines);

    std::string storeAddress() const;
    std::string machinesAddress() const;
    /// While the store is down, it never answers, and leases pause.
    void setDown(bool);
    /// Delays each answer of the store; zero ends that.
    void setDelay(milliseconds);
    /// Writes a key of the operator or of an executor; no effect while the store is down.
    void put(const std::string& key, const Json::Value&);
    void remove(const std::string& key);
    void shutdown();

private:
    void serveStore(const Standins::ExchangePtr&);
    void respond(const Standins::ExchangePtr&, const Json::Value& body, int status = 200);
    void serveMachines(const Standins::ExchangePtr&);
    void readKey(const Standins::ExchangePtr&);
    void readRange(const Standins::ExchangePtr&);
    void watch(const Standins::ExchangePtr&);
    void transact(const Standins::ExchangePtr&, const Json::Value& body);
    void callLease(const Standins::ExchangePtr&, const Json::Value& body);
    /// The store's clock, which stands still while the store is down.
    Common::Instant now() const;
    void expire();

    Adapters::EventLoop& m_loop;
    Record& m_record;
    std::function<Json::Value()> m_listMachines;
    Adapters::KeyValueStore m_state;
    std::unique_ptr<Standins::HttpServer> m_store;
    std::unique_ptr<Standins::HttpServer> m_machines;
    Common::TaskLoop::TimerId m_expiryTimer = 0;
    bool m_isDown = false;
    milliseconds m_delay { 0 };
    Common::Instant m_downSince {};
    Common::Instant::duration m_downTime { 0 };
};

} // namespace Review
