/* Reads a settings file with yajl into its scalars, each with its place. */
#ifndef BR_SHELL_SETTINGS_READER_H
#define BR_SHELL_SETTINGS_READER_H

#include "base/str.h"
#include "base/vec.h"

BR_BEGIN_DECLS

typedef enum
{
  BR_SCALAR_STRING,
  BR_SCALAR_INT,
  BR_SCALAR_REAL,
  BR_SCALAR_BOOL,
} br_scalar_kind_t;

/* One scalar of the file; its strings belong to the file. */
typedef struct
{
  br_scalar_kind_t kind;
  char *path;     /* array positions left out: "peers.vms[].name" */
  char *shown;    /* with positions: "peers.vms[2].name" */
  size_t item;    /* position in the outermost array */
  char *text;     /* of a string */
  int64_t number; /* of a whole number, or 0 and 1 */
  double real;    /* of a whole number or a fraction */
  int line;
} br_scalar_t;

BR_VEC (br_scalars, br_scalar_t);

/* NAME and FAULTS are set before it is read. */
typedef struct
{
  const char *name;
  br_buf_t *faults; /* gets "NAME:LINE: KEY: what is wrong" */
  size_t n_faults;
  br_scalars_t scalars; /* owned */
  int last_line;
} br_settings_file_t;

void br_settings_file_fault (br_settings_file_t *file,
                             int line,
                             const char *key,
                             const char *what);

/* Reads all scalars of TEXT.  A syntax error, a null and a key that is
 * given twice are faults; false after a syntax error. */
bool br_settings_file_read (br_settings_file_t *file, br_str_t text);
void br_settings_file_release (br_settings_file_t *file);

BR_END_DECLS

#endif
