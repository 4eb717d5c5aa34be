/* settings_file.h - reads the text of a settings file.

   Needs: text_ini.h.  */

#ifndef MQ_SETTINGS_FILE_H
#define MQ_SETTINGS_FILE_H

#include "core/text/text_ini.h"

/* Reads FILE, or standard input for "-", into a NUL-terminated string owned by
   CTX.  Reads at most one byte more than the allowed size, so that the parser
   detects a longer file.  Returns NULL with ERROR set to IO and errno.  */
char *mq_settings_file_text (TALLOC_CTX *ctx, const char *file, size_t *len,
                             struct mq_error *error);
/* The same, but reports a failure in ERRORS.  */
char *mq_settings_file_read (TALLOC_CTX *ctx, const char *file, size_t *len,
                             struct mq_text_errors *errors);

#endif
