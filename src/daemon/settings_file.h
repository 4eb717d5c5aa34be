/* settings_file.h - the text of a settings file.

   Needs: text_ini.h.  */

#ifndef MQ_SETTINGS_FILE_H
#define MQ_SETTINGS_FILE_H

#include "core/text/text_ini.h"

/* Text of FILE ("-": standard input) below CTX, zero-terminated, one byte more
   than is allowed at most, so that a longer file is noticed.  NULL with IO and
   its errno in ERROR.  */
char *mq_settings_file_text (TALLOC_CTX *ctx, const char *file, size_t *len,
                             struct mq_error *error);
/* The same with the failure as an error of the file.  */
char *mq_settings_file_read (TALLOC_CTX *ctx, const char *file, size_t *len,
                             struct mq_text_errors *errors);

#endif
