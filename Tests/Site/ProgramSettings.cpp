#include "ProgramSettings.h"

#include "FakeAddress.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace Guavalock
{

namespace Json = boost::json;

namespace
{

constexpr std::uint16_t storePort = 32'100; ///< Of SiteFleet.

std::string local(std::uint16_t port)
{
    return FakeAddress::text() + ':' + std::to_string(port);
}

} // namespace

std::string ProgramSettings::text(const std::string &vm)
{
    Json::object settings{{"node_name", vm}, {"ip", FakeAddress::text()}, {"zone", "north"}};
    settings["listen"] = Json::object{{"frontend", local(callerPort)}, {"readiness", local(readinessPort)}};
    settings["internal_ports"] = Json::array{7700, 7701};
    settings["limits"] = Json::object{{"cpu_share", 0.25}, {"cores", 1}};
    settings["bounds"] = Json::object{{"grace_s", 8}, {"retry_budget_ratio", 0.2}, {"retry_allowance", 52}, {"budget_window_s", 10}};
    settings["platform"] = Json::object{{"address", local(storePort)}};
    return Json::serialize(settings);
}

} // namespace Guavalock
