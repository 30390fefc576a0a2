/* Load reports of upstreams: as an engine publishes them, and as entry VMs
 * pass them on (src/upstream/load.proto). */
#ifndef BR_UPSTREAM_LOAD_DIGEST_H
#define BR_UPSTREAM_LOAD_DIGEST_H

#include "base/error.h"
#include "upstream/registry.h"

BR_BEGIN_DECLS

/* Reports in one message. */
#define BR_LOAD_REPORTS_MAX 64

/* Oldest report that is worth taking. */
#define BR_LOAD_AGE_MAX_MS 60000

typedef struct
{
  br_name_t name;
  uint64_t incarnation;
  bool down;
  br_load_t load; /* taken_ms by the clock of this VM */
} br_load_report_t;

BR_VEC (br_load_reports, br_load_report_t);

/* Reads the answer of GET /v1/load, asked for at REQUESTED_MS.  A member that
 * is missing counts as 0; "age_ms" tells how old the numbers are. */
bool br_load_read (br_str_t json,
                   const char *upstream,
                   br_ms_t requested_ms,
                   br_load_t *load,
                   br_error_t *err);

/* Appends REPORTS, at most BR_LOAD_REPORTS_MAX, to OUT. */
void br_load_digest_pack (const br_load_report_t *reports,
                          size_t n,
                          br_ms_t now,
                          br_buf_t *out);

/* Reads a message from the VM PEER; the caller frees REPORTS in either
 * case. */
bool br_load_digest_unpack (br_str_t bytes,
                            const char *peer,
                            br_ms_t now,
                            br_load_reports_t *reports,
                            br_error_t *err);

BR_END_DECLS

#endif
