"""Promises of docs/tenancy.md: keys, proofs of freshness, quotas and their floors."""

from tests.crossings.mutants import Mutant

FRESHNESS, QUOTA = "tests/fleet/tenancy/test_freshness.py", "tests/fleet/tenancy/test_quota.py"
ADMISSION, SERVICE = "tests/fleet/router/test_admission.py", "tests/fleet/controller/test_tenant_service.py"

MUTANTS = [
    Mutant(
        "the key is not passed on",
        "firvane/fleet/router/upstream_connection.py",
        "        if request.is_private:\n",
        "        if False:\n",
        ADMISSION,
    ),
    Mutant(
        "a key that nobody holds is 401",
        "firvane/fleet/router/admission.py",
        "            pending.client.rejected(STATUS_UNAUTHORIZED, 0.0)\n",
        "            pending.client.admitted(ANONYMOUS)\n",
        ADMISSION,
    ),
    Mutant(
        "without a proof what needs a key is refused",
        "firvane/fleet/router/admission.py",
        "        if not self._freshness.is_fresh(now):\n            self._wait_for_proof(pending, now)\n",
        "        if False:\n            self._wait_for_proof(pending, now)\n",
        ADMISSION,
    ),
    Mutant(
        "a proof counts from the question on, not from the answer",
        "firvane/fleet/tenancy/freshness.py",
        "        self._record_proof(proof.version, requested_at - proof.age)\n",
        "        self._record_proof(proof.version, now - proof.age)\n",
        FRESHNESS,
    ),
    Mutant(
        "the age that an answer tells is taken off",
        "firvane/fleet/tenancy/freshness.py",
        "        self._record_proof(proof.version, requested_at - proof.age)\n",
        "        self._record_proof(proof.version, requested_at)\n",
        FRESHNESS,
    ),
    Mutant(
        "a proof of a newer version waits for that version",
        "firvane/fleet/tenancy/freshness.py",
        "        if version <= self._version:\n",
        "        if True:\n",
        FRESHNESS,
    ),
    Mutant(
        "a proof lasts less than the bound, for clocks at other rates",
        "firvane/fleet/tenancy/freshness.py",
        "MAX_AGE_RATIO = 0.85",
        "MAX_AGE_RATIO = 1.1",
        FRESHNESS,
    ),
    Mutant(
        "who heard of no majority lately proves nothing",
        "firvane/fleet/controller/tenant_service.py",
        "        if age is None or age > MAX_PROOF_AGE_S:\n",
        "        if age is None:\n",
        SERVICE,
    ),
    Mutant(
        "only the owner under its lease grants",
        "firvane/fleet/controller/tenant_service.py",
        "        if not self._replication.is_owner(request.partition):\n",
        "        if False:\n",
        SERVICE,
    ),
    Mutant(
        "a bucket does not fall below its floor",
        "firvane/fleet/tenancy/quota.py",
        "        if bucket.tokens - request.cost < owned.floor(request.tenant):\n",
        "        if False:\n",
        QUOTA,
    ),
    Mutant(
        "a new owner begins a bucket at its floor",
        "firvane/fleet/tenancy/quota.py",
        "            start = bounds.capacity if floor is None else floor\n",
        "            start = bounds.capacity\n",
        QUOTA,
    ),
    Mutant(
        "a higher floor binds from its proposal on",
        "firvane/fleet/tenancy/quota.py",
        'float("inf") if proposed == REMOVED else max(min_level, proposed)',
        'float("inf") if proposed == REMOVED else min_level',
        QUOTA,
    ),
    Mutant(
        "a bucket that held more fills the slower",
        "firvane/fleet/tenancy/quota.py",
        "        return bounds.rate - max(0.0, excess) / bounds.window\n",
        "        return bounds.rate\n",
        QUOTA,
    ),
    Mutant(
        "what was used without a grant is taken off",
        "firvane/fleet/tenancy/quota.py",
        "max(-bounds.capacity, bucket.tokens - request.spent)",
        "max(-bounds.capacity, bucket.tokens)",
        QUOTA,
    ),
    Mutant(
        "tokens in advance are used for a moment only",
        "firvane/fleet/tenancy/allowance.py",
        "        if now >= use.expires:\n            use.tokens = 0.0\n",
        "        if False:\n            use.tokens = 0.0\n",
        "tests/fleet/tenancy/test_allowance.py",
    ),
    Mutant(
        "a second run counts once more",
        "firvane/fleet/router/requests.py",
        "        if self.runs > 1 and self.on_retry:\n",
        "        if False:\n",
        ADMISSION,
    ),
    Mutant(
        "a grant is used at once or not at all",
        "firvane/fleet/router/admission.py",
        "        if now >= pending.until:  # the process",
        "        if False:  # the process",
        ADMISSION,
    ),
    Mutant(
        "two tenants do not share a key",
        "firvane/fleet/configuration/structure.py",
        "            if first != position:\n                other = item_place(TENANTS",
        "            if False:\n                other = item_place(TENANTS",
        "tests/fleet/configuration/test_tenants.py",
    ),
]
