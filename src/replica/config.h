/* The configuration of the log: its voters, each with the identity of its
 * disk. */
#ifndef BR_REPLICA_CONFIG_H
#define BR_REPLICA_CONFIG_H

#include "base/error.h"
#include "base/str.h"
#include "base/vec.h"

BR_BEGIN_DECLS

#define BR_VOTERS_MAX 9

/* A member without a vote was removed by an operator; it is not promoted
 * automatically. */
typedef struct
{
  br_name_t vm;
  uint64_t disk; /* random number kept in the data folder */
  bool voter;
} br_config_member_t;

BR_VEC (br_config_members, br_config_member_t);

/* Members are sorted by VM name; each name occurs once. */
typedef struct
{
  br_config_members_t members; /* owned */
} br_config_t;

void br_config_release (br_config_t *config);
void br_config_copy (br_config_t *to, const br_config_t *from);

/* Returns NULL when VM is not a member. */
const br_config_member_t *br_config_find (const br_config_t *config,
                                          const br_name_t *vm);

/* Adds MEMBER or replaces the member of that name. */
void br_config_put (br_config_t *config, br_config_member_t member);
void br_config_remove (br_config_t *config, const br_name_t *vm);
size_t br_config_voters (const br_config_t *config);
size_t br_config_majority (const br_config_t *config);

/* Returns whether VM is a voter with this disk. */
bool br_config_is_voter (const br_config_t *config,
                         const br_name_t *vm,
                         uint64_t disk);

/* Appends the packed form that br_config_parse() reads. */
void br_config_print (const br_config_t *config, br_buf_t *out);
bool br_config_parse (br_str_t data, br_config_t *config, br_error_t *err);

BR_END_DECLS

#endif
