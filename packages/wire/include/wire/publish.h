// Table that decodes what operators, trainers and backend servers publish in a
// platform's store.
#pragma once

#include "site/conf.h"
#include "site/server.h"

/// What a key below publish_wire_ops.operator_prefix holds.
enum publish_kind {
	PUBLISH_CONF, ///< the configuration, whole
	PUBLISH_DOMAIN_OUT, ///< a failure domain that gets no work
	PUBLISH_WEIGHTS, ///< weight version that a trainer named
	PUBLISH_RETIRE, ///< a VM to be emptied of data
	PUBLISH_OTHER,
};

/// Weight version that the servers shall have.
struct publish_weights {
	char model[SITE_NAME_SIZE];
	uint64_t version;
};

struct publish_wire_ops {
	const char *operator_prefix; ///< of operators' and trainers' keys
	const char *server_prefix; ///< of backend servers' entries

	/// @param[out] name  failure domain, model or node of the key, "" if none
	enum publish_kind (*kind)(const char *key, char name[SITE_NAME_SIZE]);

	/// @param[out] out  free with site_conf_free()
	/// @return ERR_OK, ERR_PARSE or ERR_NOMEM
	enum err (*conf)(const char *value, size_t len, struct site_conf **out);

	/// @return ERR_OK, or ERR_PARSE: the entry names no server to use
	enum err (*server)(const char *key, const char *value, size_t len,
			   struct site_server_entry *out);

	/// @return ERR_OK or ERR_PARSE
	enum err (*weights)(const char *value, size_t len,
			    struct publish_weights *out);

	/// @return milliseconds that the operators give for it from now on, 0 if
	///         they don't say
	int64_t (*retire)(const char *value, size_t len);

	/// Key and value that say that a VM holds no data any more.
	void (*retired)(const char *node, char *key, size_t key_len,
			const char **value);
};
