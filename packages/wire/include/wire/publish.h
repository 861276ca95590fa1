// Decodes the keys that operators, trainers and backend servers write to a
// platform's store.
#pragma once

#include "site/conf.h"
#include "site/server.h"

/// Kind of a key with the prefix publish_wire_ops.operator_prefix.
enum publish_kind {
	PUBLISH_CONF, ///< the complete configuration
	PUBLISH_DOMAIN_OUT, ///< failure domain taken out of service
	PUBLISH_WEIGHTS, ///< weight version published by a trainer
	PUBLISH_RETIRE, ///< VM to be retired, that is, emptied of data
	PUBLISH_OTHER,
};

/// Weight version that the servers of a model have to load.
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

	/// @return ERR_OK, or ERR_PARSE if it doesn't describe a usable server
	enum err (*server)(const char *key, const char *value, size_t len,
			   struct site_server_entry *out);

	/// @return ERR_OK or ERR_PARSE
	enum err (*weights)(const char *value, size_t len,
			    struct publish_weights *out);

	/// @return time limit of the retirement, milliseconds from now, 0 if none
	int64_t (*retire)(const char *value, size_t len);

	/// Encode the key and value which record that a VM holds no more data.
	void (*retired)(const char *node, char *key, size_t key_len,
			const char **value);
};
