/* Packs and unpacks the digests between entry VMs of a failure domain. */
#ifndef BR_ORGANISATION_DIGEST_CODEC_H
#define BR_ORGANISATION_DIGEST_CODEC_H

#include "organisation/admission.h"

BR_BEGIN_DECLS

/* Maximum number of organisations in one digest; a longer one is rejected. */
#define BR_DIGEST_DEMANDS_MAX 4096

/* Largest amount and largest clock value that are accepted. */
#define BR_DIGEST_AMOUNT_MAX 1000000000
#define BR_DIGEST_TIME_MAX (INT64_MAX / 2)

void br_digest_pack (const br_admission_digest_t *digest, br_buf_t *out);

/* Parses a digest from VM.  On success the caller frees DIGEST->demands;
 * otherwise *ERR holds the step and VM. */
bool br_digest_unpack (br_str_t bytes,
                       const br_name_t *vm,
                       br_admission_digest_t *digest,
                       br_error_t *err);

BR_END_DECLS

#endif
