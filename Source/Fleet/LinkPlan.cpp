#include "Fleet/LinkPlan.h"

#include "Decisions/Hash.h"

#include <algorithm>
#include <map>

namespace Guavalock
{

LinkPlan::LinkPlan(const MemberRecord &self, const std::vector<Candidate> &others)
{
    if (others.size() < fullMeshSize) {
        for (const Candidate &it : others) {
            m_links.insert(it.record->vm);
        }
        return;
    }
    std::map<std::string, std::vector<Candidate>> dataCentres;
    for (const Candidate &it : others) {
        dataCentres[it.record->dataCentre].push_back(it);
    }
    dataCentres[self.dataCentre].push_back({&self, true});
    addHubs(dataCentres[self.dataCentre], self.vm);
    if (m_isHub) {
        for (const auto &[name, members] : dataCentres) {
            addHubs(members, self.vm);
        }
    }
}

void LinkPlan::addHubs(std::vector<Candidate> members, const std::string &self)
{
    const auto order = [](const Candidate &it) {
        return std::pair(-it.record->processorShare, Hash::of(it.record->vm));
    };
    std::ranges::sort(members, {}, order);
    std::size_t usable = 0;
    for (auto it = members.begin(); it != members.end() && usable < hubsPerDataCentre; ++it) {
        usable += it->usable ? 1 : 0;
        if (it->record->vm == self) {
            m_isHub = true;
        } else {
            m_links.insert(it->record->vm);
        }
    }
}

const std::set<std::string> &LinkPlan::links() const
{
    return m_links;
}

bool LinkPlan::isHub() const
{
    return m_isHub;
}

} // namespace Guavalock
