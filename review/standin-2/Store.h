#pragma once

/// Stand-in for the platform's store: keys, leases, watches and transactions. Each entry host has a port of its own, so that the store
/// can turn away some hosts while it serves the others.

#include "Http.h"

#include <condition_variable>
#include <cstdint>
#include <jsoncpp/json/json.h>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Review {

/// How the store treats the calls of one host.
enum class StoreMode {
    Serves,
    Silent, ///< No answers, as behind a partition.
    Busy, ///< 503.
    Resets,
};

class Store {
public:
    explicit Store(unsigned hosts);
    ~Store();
    Store(const Store&) = delete;
    Store& operator=(const Store&) = delete;

    unsigned portOf(unsigned host) const { return m_servers.at(host)->port(); }
    void setMode(unsigned host, StoreMode);
    /// Writes a key of the operator or of an executor.
    void put(const std::string& key, const Json::Value& value);
    void remove(const std::string& key);
    /// Empty when there is no such key.
    std::string valueOf(const std::string& key);
    /// Takes away at once all keys that are bound to a lease of the host, as the end of its leases does.
    void revokeLeasesOf(unsigned host);

private:
    struct Item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct Event {
        std::string key;
        Item item;
        bool isDeleted = false;
    };
    struct Lease {
        unsigned host = 0;
        milliseconds length { 0 };
        std::chrono::steady_clock::time_point until;
    };

    HttpResult serve(unsigned host, const HttpRequest&);
    HttpResponse dispatch(unsigned host, const HttpRequest&, std::unique_lock<std::mutex>&);
    HttpResponse readKey(const HttpRequest&);
    HttpResponse readRange(const HttpRequest&);
    HttpResponse watch(unsigned host, const HttpRequest&, std::unique_lock<std::mutex>&);
    HttpResponse transact(const Json::Value& body);
    HttpResponse grant(unsigned host, const Json::Value& body);
    HttpResponse keep(std::int64_t lease);
    HttpResponse endLease(std::int64_t lease);
    void write(const std::string& key, const std::string& value, std::int64_t lease);
    void erase(const std::string& key);
    void dropLease(std::int64_t lease);
    void expire();

    std::mutex m_lock; ///< Guards everything below but the servers.
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::vector<Event> m_history;
    std::map<std::int64_t, Lease> m_leases;
    std::map<unsigned, StoreMode> m_modes;
    std::int64_t m_revision = 1;
    std::int64_t m_lastLease = 0;
    bool m_isClosed = false;
    std::thread m_expiry;
    std::vector<std::unique_ptr<HttpServer>> m_servers;
};

/// Text as compact JSON.
std::string compact(const Json::Value&);
/// An empty object when the text can't be read.
Json::Value parsed(const std::string& text);

} // namespace Review
