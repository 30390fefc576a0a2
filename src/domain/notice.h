/* Notices: facts that must reach every entry VM, such as a VM or upstream that
 * leaves, or a request that crashed an upstream.  A VM sends each notice a
 * bounded number of times.  A digest of the whole set shows two VMs whether
 * their sets are equal. */
#ifndef BR_DOMAIN_NOTICE_H
#define BR_DOMAIN_NOTICE_H

#include "base/clock.h"
#include "base/str.h"
#include "base/vec.h"

BR_BEGIN_DECLS

/* X (id, name) */
#define BR_NOTICE_TABLE(X)                                                     \
  X (UPSTREAM_LEAVING, "upstream_leaving")                                     \
  X (VM_LEAVING, "vm_leaving")                                                 \
  X (CRASH, "crash")

typedef enum
{
#define X(id, name) BR_NOTICE_##id,
  BR_NOTICE_TABLE (X)
#undef X
      BR_NOTICE_COUNT
} br_notice_kind_t;

/* Longest life of a notice. */
#define BR_NOTICE_LIFE_MS (10 * 60 * 1000)

/* Maximum number of notices in a set.  When it is full, the one that expires
 * first is removed. */
#define BR_NOTICES_MAX 4096

typedef struct
{
  br_notice_kind_t kind;
  br_name_t name; /* the upstream or VM */
  uint64_t incarnation;
  /* Of a crash: digest of the request.  Of a leaving VM: wall-clock time in
   * milliseconds by which it must have left; two notices that differ only in
   * this time are the same. */
  uint64_t content;
  br_ms_t expires_ms;
} br_notice_t;

typedef struct
{
  br_notice_t notice;
  uint64_t id;              /* hash of what identifies the notice */
  uint32_t sends_remaining; /* messages that are still to carry it */
  uint32_t urgent_above;    /* urgent while sends_remaining exceeds this */
} br_notice_entry_t;

BR_VEC (br_notice_entries, br_notice_entry_t);

/* An all-zero value is an empty set. */
typedef struct
{
  br_notice_entries_t entries;
  uint64_t digest; /* XOR of all ids: independent of the order */
} br_notices_t;

const char *br_notice_kind_name (br_notice_kind_t kind);

/* Adds NOTICE, to be sent SENDS times, of which the first URGENT do not wait
 * for a probe.  Returns false when the set holds it or it has expired. */
bool br_notices_add (br_notices_t *notices,
                     const br_notice_t *notice,
                     uint32_t sends,
                     uint32_t urgent,
                     br_ms_t now);

/* Copies up to MAX notices that are still to be sent, those with the most sends
 * remaining first, and counts them as sent once.  When URGENT is set, only
 * urgent ones are copied.  Returns their number. */
size_t br_notices_take (br_notices_t *notices,
                        bool urgent,
                        br_notice_t *out,
                        size_t max);

/* Copies up to MAX notices from position FROM on, wrapping around at the end.
 * Returns their number. */
size_t br_notices_copy (const br_notices_t *notices,
                        size_t from,
                        br_notice_t *out,
                        size_t max);
void br_notices_expire (br_notices_t *notices, br_ms_t now);
void br_notices_free (br_notices_t *notices);

BR_END_DECLS

#endif
