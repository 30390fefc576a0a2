/* Makes the log in a data folder go on with this VM alone, after a majority of
 * its voters was lost for good. */
#ifndef BR_SHELL_REPLICA_RESCUE_H
#define BR_SHELL_REPLICA_RESCUE_H

#include "shell/settings.h"

BR_BEGIN_DECLS

/* What a rescue found. */
typedef struct
{
  uint64_t last_term;  /* of the last entry of the log in the folder */
  uint64_t last_index; /* of that entry */
  uint64_t commit;     /* entries up to here are known to be committed */
  br_buf_t voters;     /* names, joined by commas; owned */
  size_t n_voters;
} br_rescue_t;

void br_rescue_release (br_rescue_t *rescue);

/* Reads the log in the data folder of SETTINGS into RESCUE.  If APPLY is set,
 * it also appends a configuration whose only voter is this VM.  The process of
 * the VM must not run.  Returns false and sets *ERR when the folder cannot be
 * read or written, or holds no log. */
bool br_replica_rescue (const br_settings_t *settings,
                        bool apply,
                        br_rescue_t *rescue,
                        br_error_t *err);

BR_END_DECLS

#endif
