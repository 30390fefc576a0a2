/* The table of all settings: the kind, range and default of each, and the field
 * that it sets. */
#ifndef BR_SHELL_SETTINGS_TABLE_H
#define BR_SHELL_SETTINGS_TABLE_H

#include "shell/settings.h"

BR_BEGIN_DECLS

typedef enum
{
  BR_SETTING_NAME,
  BR_SETTING_STRING,
  BR_SETTING_ADDRESS,
  BR_SETTING_DIGEST,
  BR_SETTING_INT,
  BR_SETTING_REAL,
  BR_SETTING_BOOL,
  BR_SETTING_ROLE,
} br_setting_kind_t;

typedef struct
{
  br_setting_kind_t kind;
  const char *path;
  size_t offset; /* of its field */
  bool required;
  int64_t minimum;
  double maximum; /* exact for whole numbers up to 2^53 */
  int64_t default_value;
  const char *help;
} br_setting_row_t;

typedef struct
{
  const br_setting_row_t *items;
  size_t len;
} br_setting_rows_t;

/* Settings of the VM, of one other VM, and of one upstream. */
extern const br_setting_rows_t br_setting_rows;
extern const br_setting_rows_t br_setting_peer_rows;
extern const br_setting_rows_t br_setting_upstream_rows;

/* Path of a label of an upstream, up to the label's key. */
#define BR_SETTING_LABEL_PREFIX "upstreams[].labels."

/* Describes the values of a kind: "a whole number". */
const char *br_setting_kind_text (br_setting_kind_t kind);

/* Returns NULL when ROWS have no setting with that path. */
const br_setting_row_t *br_setting_find (const br_setting_rows_t *rows,
                                         const char *path);

BR_END_DECLS

#endif
