#include "domain/watcher.h"

static uint64_t
watcher_weight (const br_name_t *vm, const br_name_t *upstream)
{
  return br_str_hash (br_name_str (upstream),
                      br_str_hash (br_name_str (vm), 0));
}

static bool
member_is_eligible (const br_member_t *member, const br_name_t *failure_domain)
{
  return member->vm.state == BR_VM_UP && !member->vm.leaving
         && (failure_domain == NULL
             || br_name_equal (&member->failure_domain, failure_domain));
}

static size_t
watcher_rank_within (const br_watcher_self_t *self,
                     const br_members_t *members,
                     const br_name_t *upstream,
                     const br_name_t *failure_domain)
{
  uint64_t own = watcher_weight (&self->vm, upstream);
  size_t rank = 0;

  for (size_t i = 0; i < members->len; i++)
    if (member_is_eligible (&members->items[i], failure_domain)
        && watcher_weight (&members->items[i].vm.name, upstream) > own)
      rank++;
  return rank;
}

static bool
watcher_has_eligible (const br_watcher_self_t *self,
                      const br_members_t *members,
                      const br_name_t *failure_domain)
{
  if (!self->leaving && br_name_equal (&self->failure_domain, failure_domain))
    return true;
  for (size_t i = 0; i < members->len; i++)
    if (member_is_eligible (&members->items[i], failure_domain))
      return true;
  return false;
}

size_t
br_watcher_rank (const br_watcher_self_t *self,
                 const br_members_t *members,
                 const br_name_t *upstream,
                 const br_name_t *failure_domain)
{
  if (!watcher_has_eligible (self, members, failure_domain))
    return watcher_rank_within (self, members, upstream, NULL);
  if (!br_name_equal (&self->failure_domain, failure_domain))
    return SIZE_MAX;
  return watcher_rank_within (self, members, upstream, failure_domain);
}
