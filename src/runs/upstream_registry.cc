#include "runs/upstream_registry.h"

namespace jasminedyke {

upstream_news Difference(const upstream_registry& before,
                         const upstream_registry& after) {
  upstream_news news;
  for (const auto& [id, info] : after) {
    auto known = before.find(id);
    if (known == before.end() || known->second != info)
      news.rows.push_back(info);
  }
  for (const auto& [id, info] : before) {
    if (!after.contains(id))
      news.gone.push_back(id);
  }
  return news;
}

upstream_news FullNews(const upstream_registry& registry, bool whole) {
  upstream_news news;
  news.full = true;
  news.whole = whole;
  for (const auto& [id, info] : registry)
    news.rows.push_back(info);
  return news;
}

void Apply(const upstream_news& news, upstream_registry* registry) {
  if (news.full && news.whole)
    registry->clear();
  for (const upstream_info& info : news.rows)
    (*registry)[info.id] = info;
  for (const upstream_id& id : news.gone)
    registry->erase(id);
}

}  // namespace jasminedyke
