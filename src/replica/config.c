#include "replica/config.h"

#include <string.h>

#include "replica/wire.h"

/* Maximum members of one configuration, with and without a vote. */
#define MEMBERS_MAX 64

void
br_config_release (br_config_t *config)
{
  br_config_members_free (&config->members);
}

void
br_config_copy (br_config_t *to, const br_config_t *from)
{
  br_config_members_clear (&to->members);
  for (size_t i = 0; i < from->members.len; i++)
    br_config_members_push (&to->members, from->members.items[i]);
}

static size_t
config_position (const br_config_t *config, const br_name_t *vm)
{
  size_t i = 0;

  while (i < config->members.len
         && br_str_compare (br_name_str (&config->members.items[i].vm),
                            br_name_str (vm))
                < 0)
    i++;
  return i;
}

const br_config_member_t *
br_config_find (const br_config_t *config, const br_name_t *vm)
{
  size_t i = config_position (config, vm);

  if (i < config->members.len
      && br_name_equal (&config->members.items[i].vm, vm))
    return &config->members.items[i];
  return NULL;
}

void
br_config_put (br_config_t *config, br_config_member_t member)
{
  size_t i = config_position (config, &member.vm);
  br_config_members_t *members = &config->members;

  if (br_config_find (config, &member.vm) == NULL)
    {
      br_config_members_push (members, member);
      memmove (&members->items[i + 1], &members->items[i],
               (members->len - 1 - i) * sizeof member);
    }
  members->items[i] = member;
}

void
br_config_remove (br_config_t *config, const br_name_t *vm)
{
  size_t i = config_position (config, vm);
  br_config_members_t *members = &config->members;

  if (br_config_find (config, vm) == NULL)
    return;
  memmove (&members->items[i], &members->items[i + 1],
           (members->len - 1 - i) * sizeof members->items[0]);
  members->len--;
}

size_t
br_config_voters (const br_config_t *config)
{
  size_t count = 0;

  for (size_t i = 0; i < config->members.len; i++)
    count += config->members.items[i].voter;
  return count;
}

size_t
br_config_majority (const br_config_t *config)
{
  return br_config_voters (config) / 2 + 1;
}

bool
br_config_is_voter (const br_config_t *config,
                    const br_name_t *vm,
                    uint64_t disk)
{
  const br_config_member_t *member = br_config_find (config, vm);

  return member != NULL && member->voter && member->disk == disk;
}

void
br_config_print (const br_config_t *config, br_buf_t *out)
{
  br_replica_pack_config (config, out);
}

bool
br_config_parse (br_str_t data, br_config_t *config, br_error_t *err)
{
  if (!br_replica_unpack_config (data, config, err))
    return false;
  if (config->members.len <= MEMBERS_MAX
      && br_config_voters (config) <= BR_VOTERS_MAX)
    return true;
  br_config_release (config);
  return br_error_set (err, BR_ERROR_PROTOCOL, "read configuration", "",
                       "more than %d members or %d voters", MEMBERS_MAX,
                       BR_VOTERS_MAX);
}
