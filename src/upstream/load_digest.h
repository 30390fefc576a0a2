/* Parses the load reports that upstreams publish, and packs and unpacks the
 * digests in which entry VMs forward them (src/upstream/load.proto). */
#ifndef BR_UPSTREAM_LOAD_DIGEST_H
#define BR_UPSTREAM_LOAD_DIGEST_H

#include "base/error.h"
#include "upstream/registry.h"

BR_BEGIN_DECLS

/* Maximum number of reports in one message. */
#define BR_LOAD_REPORTS_MAX 64

/* Largest age of a report that is accepted. */
#define BR_LOAD_AGE_MAX_MS 60000

typedef struct
{
  br_name_t name;
  uint64_t incarnation;
  bool down;
  br_load_t load; /* taken_ms by the clock of this VM */
} br_load_report_t;

BR_VEC (br_load_reports, br_load_report_t);

/* Parses the answer to a GET /v1/load that was sent at REQUESTED_MS.  Missing
 * members count as 0; "age_ms" is the age of the numbers. */
bool br_load_read (br_str_t json,
                   const char *upstream,
                   br_ms_t requested_ms,
                   br_load_t *load,
                   br_error_t *err);

/* Appends a message with the N REPORTS, at most BR_LOAD_REPORTS_MAX, to OUT. */
void br_load_digest_pack (const br_load_report_t *reports,
                          size_t n,
                          br_ms_t now,
                          br_buf_t *out);

/* Parses a message from the VM PEER.  The caller frees REPORTS in either
 * case. */
bool br_load_digest_unpack (br_str_t bytes,
                            const char *peer,
                            br_ms_t now,
                            br_load_reports_t *reports,
                            br_error_t *err);

BR_END_DECLS

#endif
