package resource

import "time"

// ConditionType is the type of a Condition.
type ConditionType string

// The types of conditions.
const (
	// Available is true if requests or tasks can be served.
	Available ConditionType = "Available"
	// Ejected is true if a backend server gets no work because of its failures.
	Ejected ConditionType = "Ejected"
	// Leaving is true if a backend server leaves and gets no new work.
	Leaving ConditionType = "Leaving"
	// Serving is true if a backend server gets work.
	Serving ConditionType = "Serving"
)

// Condition is one aspect of a resource's status.
type Condition struct {
	Type    ConditionType `json:"type"`
	Status  bool          `json:"status"`
	Reason  string        `json:"reason"`
	Message string        `json:"message,omitempty"`
	// Since is when the condition last changed on the answering host.
	Since time.Time `json:"since"`
}

// Status is the state of a resource as one entry host sees it.
type Status struct {
	Host string `json:"host"`
	// ObservedAt is when the table last answered the host. If it never did, it is
	// when the host applied its configuration.
	ObservedAt time.Time `json:"observedAt"`
	// StaleMS is the time since ObservedAt, in milliseconds.
	StaleMS    int64       `json:"staleMs"`
	Conditions []Condition `json:"conditions"`
}
